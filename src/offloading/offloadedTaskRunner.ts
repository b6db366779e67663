/**
 * Runs the tasks that peers offload to this daemon, each at most once.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import { createProblem } from '../errors/problem.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { Scheduler } from '../placement/scheduler.js';
import type { Clock } from '../ports/clock.js';
import type {
  OffloadReply,
  OffloadRequest,
  OffloadedTask,
  OffloadedTaskEnd,
} from '../ports/peers.js';

/** Time after its deadline for which a task is recognised if it is sent again. */
const retentionAfterDeadlineMs = 60_000;

export interface OffloadedTaskRunnerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly configuration: ConfigurationStore;
  /** Returns whether this daemon accepts new tasks of peers. */
  readonly isAcceptingTasks: () => boolean;
}

/** A task that was received, kept to recognise it if it is sent again. */
interface ReceivedTask {
  readonly end: Promise<OffloadedTaskEnd>;
  /** Monotonic time from which on it may be forgotten, in milliseconds. */
  readonly expiresAtMs: number;
}

export class OffloadedTaskRunner {
  /** By task id and attempt number (`pass`), in the order of arrival. */
  private readonly known = new Map<string, ReceivedTask>();

  private constructor(private readonly options: OffloadedTaskRunnerOptions) {}

  static create(options: OffloadedTaskRunnerOptions): OffloadedTaskRunner {
    return new OffloadedTaskRunner(options);
  }

  /**
   * Runs tasks, or waits for the end of those that were received before.
   *
   * @param request - the tasks, and the incarnation that they are meant for
   * @returns how each task ended, once all have; or that this is another incarnation, which has
   *   started nothing
   */
  async runAll(request: OffloadRequest): Promise<OffloadReply> {
    if (request.incarnation !== this.options.incarnation) {
      return { kind: 'other-incarnation' };
    }
    this.forgetExpired();
    const ends = await Promise.all(request.tasks.map((task) => this.runOnce(task)));
    return { kind: 'ended', ends, freeSlots: this.options.scheduler.freeSlots };
  }

  /** Runs a task, unless it was received before; then returns the same end. */
  private runOnce(task: OffloadedTask): Promise<OffloadedTaskEnd> {
    const identity = `${task.taskId} ${task.pass}`;
    const known = this.known.get(identity);
    if (known !== undefined) {
      return known.end;
    }
    const { clock } = this.options;
    const deadlineAtMs = clock.nowMs() + task.timeLeftMs;
    const end = this.run(task, deadlineAtMs);
    this.known.set(identity, { end, expiresAtMs: deadlineAtMs + retentionAfterDeadlineMs });
    return end;
  }

  private async run(offloaded: OffloadedTask, deadlineAtMs: number): Promise<OffloadedTaskEnd> {
    const { clock, scheduler, configuration } = this.options;
    const { taskId, operationId, jobId, callerId, teamId, callerClass, input } = offloaded;
    const operation = configuration.current?.inventory.operations.get(operationId);
    if (operation === undefined || !this.options.isAcceptingTasks()) {
      return { taskId, outcome: createRefusal(), elapsedMs: 0 };
    }
    const startedAtMs = clock.nowMs();
    // The daemon of the job counts the task to the quota of the team. The suffixes keep it from
    // being counted here again.
    const suffixedCaller = {
      callerId: `${callerId}/passed`,
      teamId: `${teamId}/passed`,
      callerClass,
    };
    const outcome = await scheduler.run({
      ...suffixedCaller,
      taskId,
      jobId,
      operation,
      input,
      deadlineAtMs,
      isOffloaded: true,
    });
    return { taskId, outcome, elapsedMs: clock.nowMs() - startedAtMs };
  }

  /**
   * Removes expired tasks up to the first one that has not expired. Tasks are kept in the order of
   * arrival, which is near the order of their deadlines.
   */
  private forgetExpired(): void {
    const nowMs = this.options.clock.nowMs();
    for (const [identity, { expiresAtMs }] of this.known) {
      if (expiresAtMs > nowMs) {
        return;
      }
      this.known.delete(identity);
    }
  }
}

/** Creates the outcome of a task that this daemon does not accept. */
const createRefusal = (): TaskOutcome => ({
  kind: 'not-run',
  problem: createProblem('stopping', 'This daemon takes no tasks of this kind from peers.'),
});
