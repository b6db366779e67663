/**
 * The load that a dispatcher reports: the free capacity of its workers, and the work that waits for them.
 */
import type { Clock } from '../ports/clock.js';
import type { MemberLoad } from '../types/fleet.js';
import type { WaitingWork } from '../types/serviceLoad.js';
import type { BatchedTask } from './openBatch.js';
import type { WorkerPool } from './workerPool.js';

/**
 * Time for which a load is reused, in milliseconds: plans, replies and heartbeats within a few turns of the event loop need
 * the same one.
 */
const maxReuseMs = 2;

/** A load, and the state of the dispatcher that it was computed from. */
interface ComputedLoad {
  readonly load: MemberLoad;
  readonly atMs: number;
  readonly stamp: string;
  readonly waiting: readonly BatchedTask[];
}

export class MemberLoadReports {
  private last: ComputedLoad | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly workers: Pick<WorkerPool, 'computeLoads' | 'loadStamp'>,
  ) {}

  static create(
    clock: Clock,
    workers: Pick<WorkerPool, 'computeLoads' | 'loadStamp'>,
  ): MemberLoadReports {
    return new MemberLoadReports(clock, workers);
  }

  /**
   * Composes the load, or returns the last one if neither the runs nor the waiting tasks have changed since.
   *
   * @param waiting - the waiting tasks, in the order in which they reserve capacity
   */
  compose(waiting: readonly BatchedTask[]): MemberLoad {
    const nowMs = this.clock.nowMs();
    const stamp = this.workers.loadStamp();
    const isCurrent =
      this.last?.stamp === stamp &&
      nowMs - this.last.atMs <= maxReuseMs &&
      hasSameTasks(this.last.waiting, waiting);
    if (this.last === undefined || !isCurrent) {
      const workers = this.workers.computeLoads(waiting);
      const load =
        waiting.length === 0 ? { workers } : { workers, waiting: sumWaitingTasks(waiting) };
      this.last = { load, atMs: nowMs, stamp, waiting };
    }
    return this.last.load;
  }
}

const hasSameTasks = (a: readonly BatchedTask[], b: readonly BatchedTask[]): boolean =>
  a.length === b.length && a.every((task, index) => task === b[index]);

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
