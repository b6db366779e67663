/**
 * Reads the minute sums that the log still keeps.
 */
import type { Result } from 'ts-results-es';
import { Ok } from 'ts-results-es';
import type { LogService, LogServiceError } from '../ports/logService.js';
import { serviceLevelStream } from './minuteWriter.js';
import { minuteSumSchema } from '../types/report.js';
import type { MinuteSum } from '../types/report.js';

/**
 * Reads the whole stream; entries that are not valid are left out, so that they show as missing.
 *
 * @param logService - the log service
 * @param firstMinute - older sums are left out
 * @param signal - gives up
 */
export const readSums = async (
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
