/**
 * Publishes a configuration as the next version on the log. The stream is the truth: a publication
 * counts once it is read back, whatever became of the answer to its append.
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

/** Why a publication is not known to count. */
export type PublishError =
  /** Another record is in force in its place. */
  | { readonly kind: 'conflict'; readonly version: number; readonly publishedBy: string }
  /** Nothing was appended. */
  | { readonly kind: 'log-unavailable'; readonly detail: string }
  /** The log drops entries, and none that it keeps tells the version in force. */
  | { readonly kind: 'history-lost' }
  /** The append may yet take effect. */
  | { readonly kind: 'outcome-unknown'; readonly detail: string };

export interface PublisherOptions {
  readonly logService: LogService;
  readonly clock: Clock;
}

export interface PublishRequest {
  readonly configuration: Configuration;
  readonly publishedBy: string;
  /** Tells this publication from any other one; the same over every try. */
  readonly publicationId: string;
  /** The version that the operator changed; the one in force if left out. */
  readonly baseVersion?: number;
  /** Starts anew above `baseVersion` where the history is lost. */
  readonly reset?: boolean;
}

/**
 * Reads the stream by the rule of every daemon.
 *
 * @param options - the log service and the clock
 * @param signal - gives up
 * @returns the record in force, or nothing on a stream without one
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
  return reader.isProven ? Ok(reader.inForce) : Err({ kind: 'history-lost' });
};

/**
 * Publishes a configuration.
 *
 * @param options - the log service and the clock
 * @param request - the configuration and the version it is based on
 * @param signal - gives up
 * @returns the version, or why the publication is not known to count
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
  if (!reader.isProven) {
    return Err({ kind: 'history-lost' });
  }
  return baseVersion === inForce
    ? Ok({ kind: 'publication', record })
    : Err(createConflict(reader.inForce));
};

/** Appends until the own record, or another one in its place, is read back. */
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
    if (read.isOk() && (read.value.some(countsFor(record)) || isInForce(reader, record))) {
      return Ok(record.version);
    }
    if (reader.isProven && (reader.inForce?.version ?? 0) >= record.version) {
      return Err(createConflict(reader.inForce));
    }
    await clock.sleep(retryPauseMs, signal);
  }
  return Err({ kind: 'outcome-unknown', detail });
};

/** Reads until the end of the stream, through errors, until the signal gives up. */
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

const countsFor =
  ({ publicationId }: ConfigurationRecord) =>
  (entry: ReadEntry): boolean => {
    switch (entry.kind) {
      case 'decided':
        return (
          entry.decision.kind === 'replaces' &&
          entry.decision.record.publicationId === publicationId
        );
      case 'vouched':
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
