/**
 * Publishes a configuration as the next version on the log.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { LogRecord, LogService } from '../ports/logService.js';
import { configurationStream } from './configurationFollower.js';
import { configurationRecordSchema } from './types.js';
import type { Configuration, ConfigurationRecord } from './types.js';

/** Why nothing was published. */
export type PublishError =
  | { readonly kind: 'conflict'; readonly version: number }
  | { readonly kind: 'log-unavailable'; readonly detail: string };

export interface PublishRequest {
  readonly configuration: Configuration;
  readonly publishedBy: string;
  /** The version that the operator changed; the one in force if left out. */
  readonly baseVersion?: number;
}

/**
 * Reads the stream and applies the rule of every reader: a record counts if it replaces the version
 * then in force.
 *
 * @param logService - the log service
 * @param signal - gives up
 * @returns the record in force, or nothing on an empty stream
 */
export const readCurrentRecord = async (
  logService: LogService,
  signal: AbortSignal,
): Promise<Result<ConfigurationRecord | undefined, PublishError>> => {
  let current: ConfigurationRecord | undefined;
  let fromOffset = 0;
  for (;;) {
    const page = await logService.read(configurationStream, fromOffset, 0, signal);
    if (page.isErr()) {
      return Err({ kind: 'log-unavailable', detail: page.error.detail });
    }
    for (const record of page.value.records) {
      current = replace(current, record);
      fromOffset = record.offset + 1;
    }
    if (page.value.records.length === 0) {
      return Ok(current);
    }
  }
};

/**
 * Publishes a configuration.
 *
 * @param logService - the log service
 * @param request - the configuration and the version it is based on
 * @param signal - gives up
 * @returns the version, or the conflict with another operator
 */
export const publishConfiguration = async (
  logService: LogService,
  request: PublishRequest,
  signal: AbortSignal,
): Promise<Result<number, PublishError>> => {
  const current = await readCurrentRecord(logService, signal);
  if (current.isErr()) {
    return current;
  }
  const inForce = current.value?.version ?? 0;
  const baseVersion = request.baseVersion ?? inForce;
  if (baseVersion !== inForce) {
    return Err({ kind: 'conflict', version: inForce });
  }
  const { configuration, publishedBy } = request;
  const record = { version: baseVersion + 1, baseVersion, publishedBy, configuration };
  const appended = await logService.append(configurationStream, [record], signal);
  return appended.isOk()
    ? Ok(record.version)
    : Err({ kind: 'log-unavailable', detail: appended.error.detail });
};

const replace = (
  current: ConfigurationRecord | undefined,
  { value }: LogRecord,
): ConfigurationRecord | undefined => {
  const parsed = configurationRecordSchema.safeParse(value);
  const version = current?.version ?? 0;
  const isNext = parsed.success && (version === 0 || parsed.data.baseVersion === version);
  return isNext ? parsed.data : current;
};
