/**
 * Runs the tasks that peers pass here, each at most once.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import { createProblem } from '../errors/problem.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { Scheduler } from '../placement/scheduler.js';
import type { Clock } from '../ports/clock.js';
import type {
  PassTasksReply,
  PassTasksRequest,
  PassedTask,
  PassedTaskEnd,
} from '../ports/peers.js';

/** Time after its deadline for which a task is recognised. */
const retentionAfterDeadlineMs = 60_000;

export interface PassedTasksOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly configuration: ConfigurationStore;
  /** Tells whether this daemon starts new tasks of peers. */
  readonly isTaking: () => boolean;
}

interface ReceivedTask {
  readonly end: Promise<PassedTaskEnd>;
  readonly expiresAtMs: number;
}

export class PassedTasks {
  private readonly known = new Map<string, ReceivedTask>();

  private constructor(private readonly options: PassedTasksOptions) {}

  static create(options: PassedTasksOptions): PassedTasks {
    return new PassedTasks(options);
  }

  /**
   * Runs tasks, or waits for those that are known already.
   *
   * @param request - the tasks
   * @returns how each ended, when all have
   */
  async receive(request: PassTasksRequest): Promise<PassTasksReply> {
    if (request.incarnation !== this.options.incarnation) {
      return { kind: 'other-incarnation' };
    }
    this.forgetExpired();
    const ends = await Promise.all(request.tasks.map((task) => this.runOnce(task)));
    return { kind: 'ended', ends, freeSlots: this.options.scheduler.freeSlots };
  }

  private runOnce(task: PassedTask): Promise<PassedTaskEnd> {
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

  private async run(passed: PassedTask, deadlineAtMs: number): Promise<PassedTaskEnd> {
    const { clock, scheduler, configuration } = this.options;
    const { taskId, operationId, jobId, callerId, teamId, callerClass, input } = passed;
    const operation = configuration.current?.inventory.operations.get(operationId);
    if (operation === undefined || !this.options.isTaking()) {
      return { taskId, outcome: createRefusal(), elapsedMs: 0 };
    }
    const startedAtMs = clock.nowMs();
    // Counted to the quota of the team where the job came in, and not here again.
    const standing = { callerId: `${callerId}/passed`, teamId: `${teamId}/passed`, callerClass };
    const outcome = await scheduler.run({
      ...standing,
      taskId,
      jobId,
      operation,
      input,
      deadlineAtMs,
      isOffloaded: true,
    });
    return { taskId, outcome, elapsedMs: clock.nowMs() - startedAtMs };
  }

  /** Tasks stand in the order of their arrival, which is near the order of their deadlines. */
  private forgetExpired(): void {
    const nowMs = this.options.clock.nowMs();
    for (const [identity, { expiresAtMs: forgetAtMs }] of this.known) {
      if (forgetAtMs > nowMs) {
        return;
      }
      this.known.delete(identity);
    }
  }
}

const createRefusal = (): TaskOutcome => ({
  kind: 'not-run',
  problem: createProblem('stopping', 'This daemon takes no tasks of this kind from peers.'),
});
