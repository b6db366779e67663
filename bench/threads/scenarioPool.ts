/**
 * Runs scenarios in several threads in parallel.
 */
import { once } from 'node:events';
import { runMeasureSchema } from '../measures.js';
import type { RunMeasure, RunRequest } from '../measures.js';
import { startThread } from './startThread.js';

/** Called with each run that has finished. */
export type RunListener = (run: RunMeasure) => void;

/**
 * Runs groups of requests; the requests of a group run one after the other in the same thread.
 *
 * @param groups - the groups
 * @param threadCount - number of groups that run in parallel
 * @param onRun - called after each run
 * @returns the runs in the order of the requests
 */
export const runGroups = async (
  groups: readonly (readonly RunRequest[])[],
  threadCount: number,
  onRun: RunListener,
): Promise<RunMeasure[]> => {
  const runsByGroup: RunMeasure[][] = [];
  const waiting = [...groups.entries()];
  const runNextGroups = async (): Promise<void> => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      const [index, group] = next;
      runsByGroup[index] = await runGroup(group, onRun);
    }
  };
  await Promise.all(Array.from({ length: threadCount }, runNextGroups));
  return runsByGroup.flat();
};

/** Runs a group in a new thread, so that the heap of each group is measured from the same state. */
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
