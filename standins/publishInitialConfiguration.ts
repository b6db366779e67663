/**
 * Publishes the first configuration of a deployment with stand-ins.
 */
import { LogHttpClient } from '../src/adapters/logHttp/logHttpClient.js';
import { publishConfiguration } from '../src/configuration/publisher.js';
import type { Configuration } from '../src/types/configuration.js';
import type { Clock } from '../src/ports/clock.js';

const publishTimeoutMs = 10_000;

/** The first configuration, and the log service to publish it in. */
export interface InitialPublication {
  readonly logAddress: string;
  readonly clock: Clock;
  readonly configuration: Configuration;
}

/**
 * Publishes the configuration; throws if that fails or takes more than 10 s.
 */
export const publishInitialConfiguration = async (
  publication: InitialPublication,
): Promise<void> => {
  const { logAddress, clock, configuration } = publication;
  const logService = LogHttpClient.create(logAddress);
  const request = { configuration, publishedBy: 'stand-ins', publicationId: 'first' };
  const signal = AbortSignal.timeout(publishTimeoutMs);
  const version = await publishConfiguration({ logService, clock }, request, signal);
  await logService.close();
  version.expect('The first configuration could not be published');
};
