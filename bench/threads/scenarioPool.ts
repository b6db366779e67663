/**
 * Runs scenarios in a few threads side by side.
 */
import { once } from 'node:events';
import { runMeasureSchema } from '../measures.js';
import type { RunMeasure, RunRequest } from '../measures.js';
import { startThread } from './startThread.js';

/** A run that ended. */
export type RunListener = (run: RunMeasure) => void;

/**
 * Runs every request; all systems of one scenario run in turn in the same thread.
 *
 * @param groups - the requests that run in turn, a group for each scenario
 * @param threadCount - how many threads run groups side by side
 * @param onRun - called after each run
 * @returns the runs in the order of the requests
 */
export const runAll = async (
  groups: readonly (readonly RunRequest[])[],
  threadCount: number,
  onRun: RunListener,
): Promise<RunMeasure[]> => {
  const results: RunMeasure[][] = [];
  const waiting = [...groups.entries()];
  const serve = async (): Promise<void> => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      const [index, group] = next;
      results[index] = await runGroup(group, onRun);
    }
  };
  await Promise.all(Array.from({ length: threadCount }, serve));
  return results.flat();
};

/** A fresh thread for each group, so that memory is measured from the same start. */
const runGroup = async (
  group: readonly RunRequest[],
  onRun: RunListener,
): Promise<RunMeasure[]> => {
  const thread = startThread(new URL('./scenarioThread.ts', import.meta.url), undefined);
  const runs: RunMeasure[] = [];
  for (const request of group) {
    thread.postMessage(request);
    const [message] = (await once(thread, 'message')) as unknown[];
    const run = runMeasureSchema.parse(message);
    onRun(run);
    runs.push(run);
  }
  await thread.terminate();
  return runs;
};
