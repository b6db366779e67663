/**
 * Publishes the first configuration of a deployment of stand-ins.
 */
import { LogHttpClient } from '../src/adapters/logHttp/logHttpClient.js';
import { publishConfiguration } from '../src/configuration/publisher.js';
import type { Configuration } from '../src/types/configuration.js';
import type { Clock } from '../src/ports/clock.js';

const publishTimeoutMs = 10_000;

/** Where the configuration goes. */
export interface FirstPublication {
  readonly logAddress: string;
  readonly clock: Clock;
  readonly configuration: Configuration;
}

/**
 * Publishes a configuration; throws if that fails.
 *
 * @param publication - the configuration and the address of the log service
 */
export const publishFirst = async (publication: FirstPublication): Promise<void> => {
  const { logAddress, clock, configuration } = publication;
  const logService = LogHttpClient.create(logAddress);
  const request = { configuration, publishedBy: 'stand-ins', publicationId: 'first' };
  const signal = AbortSignal.timeout(publishTimeoutMs);
  const version = await publishConfiguration({ logService, clock }, request, signal);
  await logService.close();
  version.expect('The first configuration is published.');
};
