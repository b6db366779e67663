/**
 * The load that a dispatcher reports: the free capacity of its workers, and the work that waits for them.
 */
import type { MemberLoad } from '../types/fleet.js';
import type { WaitingWork } from '../types/serviceLoad.js';
import type { BatchedTask } from './openBatch.js';
import type { WorkerPool } from './workerPool.js';

/**
 * Composes the load.
 *
 * @param workers - the workers of the dispatcher
 * @param waiting - its waiting tasks, in the order in which they reserve capacity
 */
export const composeMemberLoad = (
  workers: Pick<WorkerPool, 'computeLoads'>,
  waiting: readonly BatchedTask[],
): MemberLoad => {
  const loads = workers.computeLoads(waiting);
  return waiting.length === 0
    ? { workers: loads }
    : { workers: loads, waiting: sumWaitingTasks(waiting) };
};

/** Sums waiting tasks up by service and priority. */
export const sumWaitingTasks = (waiting: readonly BatchedTask[]): WaitingWork[] =>
  mergeWaitingWork(
    waiting.map(({ batch: { content } }) => ({
      serviceId: content.serviceId,
      priority: content.priority,
      taskCount: 1,
      coreMs: (content.needs.resources.cpuMillis * content.estimatedMs) / 1_000,
    })),
  ).map((work) => ({ ...work, coreMs: Math.round(work.coreMs) }));

/** Adds up the work of each service and priority; the most urgent comes first. */
export const mergeWaitingWork = (works: readonly WaitingWork[]): WaitingWork[] => {
  const merged = new Map<string, WaitingWork>();
  for (const work of works) {
    const { serviceId, priority, taskCount, coreMs } = work;
    const key = `${priority} ${serviceId}`;
    const sum = merged.get(key);
    merged.set(
      key,
      sum === undefined
        ? work
        : { ...sum, taskCount: sum.taskCount + taskCount, coreMs: sum.coreMs + coreMs },
    );
  }
  return [...merged.values()].sort((a, b) => a.priority - b.priority);
};
