/**
 * The verdict on the rule that no two runs of a task are at work at the same time.
 */
import type { Verdict } from './main.js';
import type { Record } from './record.js';
import { describeRun, findOverlaps } from './run.js';
import type { Run } from './run.js';

/** Lists the overlapping runs in the record. */
export const judgeOverlaps = (record: Record, runs: readonly Run[]): Verdict => {
  const overlaps = findOverlaps(runs, record.nowMs());
  for (const { first, second, durationMs } of overlaps) {
    record.write(`overlap of ${durationMs.toFixed(1)} ms:`);
    record.write(`  ${describeRun(first)}`);
    record.write(`  ${describeRun(second)}`);
  }
  return {
    isBroken: overlaps.length > 0,
    detail: `${runs.length} runs, ${overlaps.length} overlaps of two runs of one task`,
  };
};
