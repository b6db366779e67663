/**
 * Reads the minute sums that the log service still retains.
 */
import type { Result } from 'ts-results-es';
import { Ok } from 'ts-results-es';
import type { LogService, LogServiceError } from '../ports/logService.js';
import { serviceLevelStream } from './minuteWriter.js';
import { minuteSumSchema } from '../types/report.js';
import type { MinuteSum } from '../types/report.js';

/**
 * Reads the whole stream. Records that are not valid are skipped, so that their minutes are reported as
 * missing.
 *
 * @param logService - the log service
 * @param firstMinute - the oldest minute to return, in minutes since the epoch
 * @param signal - aborts the reading
 * @returns the sums in the order of the stream, or why the log service could not be read
 */
export const readMinuteSums = async (
  logService: LogService,
  firstMinute: number,
  signal: AbortSignal,
): Promise<Result<MinuteSum[], LogServiceError>> => {
  const sums: MinuteSum[] = [];
  let fromOffset = 0;
  for (;;) {
    const page = await logService.read(serviceLevelStream, fromOffset, 0, signal);
    if (page.isErr()) {
      return page;
    }
    for (const { offset, value } of page.value.records) {
      const parsed = minuteSumSchema.safeParse(value);
      if (parsed.success && parsed.data.minute >= firstMinute) {
        sums.push(parsed.data);
      }
      fromOffset = offset + 1;
    }
    if (page.value.records.length === 0) {
      return Ok(sums);
    }
  }
};
