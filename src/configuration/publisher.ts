/**
 * Publishes a configuration as the next version on the log. A publication succeeds once it is read
 * back from the stream and takes effect, even if the reply to its append was lost.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { LogService } from '../ports/logService.js';
import { configurationStream, ConfigurationReader } from './configurationReader.js';
import type { ReadEntry } from './configurationReader.js';
import type {
  Configuration,
  ConfigurationEntry,
  ConfigurationRecord,
} from '../types/configuration.js';

const retryPauseMs = 250;

/** Why a publication failed or its outcome is unknown. */
export type PublishError =
  /** The version in force is not the one that the publication is based on. */
  | { readonly kind: 'conflict'; readonly version: number; readonly publishedBy: string }
  /** The stream could not be read, and nothing was appended. */
  | { readonly kind: 'log-unavailable'; readonly detail: string }
  /** The log has dropped entries, and none that it retains determines the version in force. */
  | { readonly kind: 'history-lost' }
  /** The append may still take effect. */
  | { readonly kind: 'outcome-unknown'; readonly detail: string };

export interface PublisherOptions {
  readonly logService: LogService;
  readonly clock: Clock;
}

export interface PublishRequest {
  readonly configuration: Configuration;
  readonly publishedBy: string;
  /** Identifies this publication among all others; the same in every retry. */
  readonly publicationId: string;
  /** The version that the operator edited; the one in force if left out. */
  readonly baseVersion?: number;
  /** Publishes version `baseVersion + 1` as a reset, for a stream whose history is lost. */
  readonly reset?: boolean;
}

/**
 * Reads the record in force from the stream, by the rule that the daemons apply.
 *
 * @param options - the log service and the clock
 * @param signal - cancels the reading
 * @returns the record in force, or nothing before the first publication
 */
export const readCurrentRecord = async (
  options: PublisherOptions,
  signal: AbortSignal,
): Promise<Result<ConfigurationRecord | undefined, PublishError>> => {
  const reader = ConfigurationReader.create(options.logService);
  const read = await readToEnd(reader, options.clock, signal);
  if (read.isErr()) {
    return Err({ kind: 'log-unavailable', detail: read.error });
  }
  return reader.isInForceKnown ? Ok(reader.inForce) : Err({ kind: 'history-lost' });
};

/**
 * Appends a configuration to the stream and waits until it takes effect there.
 *
 * @param options - the log service and the clock
 * @param request - the configuration and the version it is based on
 * @param signal - cancels the publication; the outcome is unknown if an append was tried
 * @returns the new version, or why the publication failed or its outcome is unknown
 */
export const publishConfiguration = async (
  options: PublisherOptions,
  request: PublishRequest,
  signal: AbortSignal,
): Promise<Result<number, PublishError>> => {
  const reader = ConfigurationReader.create(options.logService);
  const read = await readToEnd(reader, options.clock, signal);
  if (read.isErr()) {
    return Err({ kind: 'log-unavailable', detail: read.error });
  }
  const entry = composeEntry(reader, request);
  if (entry.isErr()) {
    return entry;
  }
  return appendAndReadBack(options, reader, entry.value, signal);
};

const composeEntry = (
  reader: ConfigurationReader,
  request: PublishRequest,
): Result<ConfigurationEntry, PublishError> => {
  const { configuration, publishedBy, publicationId, reset = false } = request;
  const inForce = reader.inForce?.version ?? 0;
  const baseVersion = request.baseVersion ?? inForce;
  const version = baseVersion + 1;
  const record = { version, baseVersion, publicationId, publishedBy, configuration };
  if (reset) {
    return baseVersion < inForce
      ? Err(createConflict(reader.inForce))
      : Ok({ kind: 'reset', record });
  }
  if (!reader.isInForceKnown) {
    return Err({ kind: 'history-lost' });
  }
  return baseVersion === inForce
    ? Ok({ kind: 'publication', record })
    : Err(createConflict(reader.inForce));
};

/** Appends until one append is acknowledged; reads until the record or another one is in force. */
const appendAndReadBack = async (
  { logService, clock }: PublisherOptions,
  reader: ConfigurationReader,
  entry: ConfigurationEntry,
  signal: AbortSignal,
): Promise<Result<number, PublishError>> => {
  const { record } = entry;
  let appended = false;
  let detail = '';
  while (!signal.aborted) {
    if (!appended) {
      const answer = await logService.append(configurationStream, [entry], signal);
      appended = answer.isOk();
      detail = answer.isErr() ? answer.error.detail : '';
    }
    const read = await readToEnd(reader, clock, signal);
    if (read.isOk() && (read.value.some(isReplacementBy(record)) || isInForce(reader, record))) {
      return Ok(record.version);
    }
    if (reader.isInForceKnown && (reader.inForce?.version ?? 0) >= record.version) {
      return Err(createConflict(reader.inForce));
    }
    await clock.sleep(retryPauseMs, signal);
  }
  return Err({ kind: 'outcome-unknown', detail });
};

/** Reads to the end of the stream and retries failed reads until the signal is aborted. */
const readToEnd = async (
  reader: ConfigurationReader,
  clock: Clock,
  signal: AbortSignal,
): Promise<Result<ReadEntry[], string>> => {
  const entries: ReadEntry[] = [];
  let detail = 'The time to publish is over.';
  while (!signal.aborted) {
    const step = await reader.read(0, signal);
    if (step.isErr()) {
      detail = step.error.detail;
      await clock.sleep(retryPauseMs, signal);
      continue;
    }
    entries.push(...step.value.entries);
    if (reader.offset >= step.value.endOffset) {
      return Ok(entries);
    }
  }
  return Err(detail);
};

const isReplacementBy =
  ({ publicationId }: ConfigurationRecord) =>
  (entry: ReadEntry): boolean => {
    switch (entry.kind) {
      case 'decided':
        return (
          entry.decision.kind === 'replaces' &&
          entry.decision.record.publicationId === publicationId
        );
      case 'unconfirmed':
      case 'undecidable':
        return false;
      default:
        return unreachable(entry);
    }
  };

const isInForce = (reader: ConfigurationReader, { publicationId }: ConfigurationRecord): boolean =>
  reader.inForce?.publicationId === publicationId;

const createConflict = (inForce: ConfigurationRecord | undefined): PublishError => ({
  kind: 'conflict',
  version: inForce?.version ?? 0,
  publishedBy: inForce?.publishedBy ?? '',
});
