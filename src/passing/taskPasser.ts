/**
 * Passes waiting tasks to peers with free slots: one message for all tasks of a job that go to the
 * same peer at the same time.
 */
import { unreachable } from '../errors/unreachable.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { Clock } from '../ports/clock.js';
import type { PassTasksReply, PassedTask, PassedTaskEnd } from '../ports/peers.js';
import type { WaitingTask } from '../queue/types.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import type { PeerSlots } from './peerSlots.js';

/** Input bytes in one message at most, by the operations' declared bounds. */
const maxMessageBytes = 3_000_000;
const firstRetryPauseMs = 100;
const maxRetries = 5;
const withdrawTimeoutMs = 1_000;

export interface TaskPasserOptions {
  readonly clock: Clock;
  readonly peers: Pick<PeerSet, 'linkTo'>;
  readonly slots: PeerSlots;
}

/** What became of a passed task. */
export type OffloadEnd =
  | { readonly kind: 'ended'; readonly outcome: TaskOutcome; readonly elapsedMs: number }
  /** The peer certainly did not start it. */
  | { readonly kind: 'not-started' }
  /** The peer may have started it and cannot be asked. */
  | { readonly kind: 'lost' }
  /** Its job has ended. */
  | { readonly kind: 'withdrawn'; readonly isSent: boolean };

/** A task that was given to a peer. */
interface PendingOffload {
  readonly entry: WaitingTask;
  readonly pass: number;
  readonly end: Deferred<OffloadEnd>;
}

/** Tasks of one job for one peer. */
interface OffloadBatch {
  readonly incarnation: string;
  readonly jobId: string;
  readonly offloads: PendingOffload[];
  bytes: number;
}

/** What one try to send a batch brought. */
type SendResult = 'not-started' | 'unclear' | 'gone' | readonly PassedTaskEnd[];

export class TaskPasser {
  private unsent: OffloadBatch[] = [];
  private readonly sent = new Set<OffloadBatch>();
  private readonly stop = new AbortController();

  private constructor(private readonly options: TaskPasserOptions) {}

  static create(options: TaskPasserOptions): TaskPasser {
    return new TaskPasser(options);
  }

  /**
   * Passes a task on.
   *
   * @param entry - the task
   * @param incarnation - the peer
   */
  pass(entry: WaitingTask, incarnation: string): Promise<OffloadEnd> {
    entry.attempts += 1;
    const passage: PendingOffload = { entry, pass: entry.attempts, end: createDeferred() };
    const { jobId, operation } = entry.task;
    this.options.slots.reserveSlot(incarnation);
    if (this.unsent.length === 0) {
      void this.sendUnsentBatches();
    }
    const batch = this.findOrCreateBatch(incarnation, jobId, operation.maxInputBytes);
    batch.offloads.push(passage);
    batch.bytes += operation.maxInputBytes;
    return passage.end.promise;
  }

  /**
   * Stops the passed tasks of a job: what was not sent stays here, and each peer gets one message.
   *
   * @param jobId - the job
   */
  withdraw(jobId: string): void {
    const unsent = this.unsent.filter((batch) => batch.jobId === jobId);
    this.unsent = this.unsent.filter((batch) => batch.jobId !== jobId);
    unsent.forEach((batch) => resolveAll(batch, { kind: 'withdrawn', isSent: false }));
    const sent = [...this.sent].filter((batch) => batch.jobId === jobId);
    for (const batch of sent) {
      this.sent.delete(batch);
      resolveAll(batch, { kind: 'withdrawn', isSent: true });
    }
    for (const incarnation of new Set(sent.map((batch) => batch.incarnation))) {
      const signal = AbortSignal.timeout(withdrawTimeoutMs);
      void this.options.peers.linkTo(incarnation)?.withdrawPassed({ jobId }, signal);
    }
  }

  close(): void {
    this.stop.abort();
  }

  private findOrCreateBatch(incarnation: string, jobId: string, bytes: number): OffloadBatch {
    const known = this.unsent.find(
      (batch) =>
        batch.incarnation === incarnation &&
        batch.jobId === jobId &&
        batch.bytes + bytes <= maxMessageBytes,
    );
    if (known !== undefined) {
      return known;
    }
    const batch: OffloadBatch = { incarnation, jobId, offloads: [], bytes: 0 };
    this.unsent.push(batch);
    return batch;
  }

  /** Lets the running decisions end, so that their tasks share messages. */
  private async sendUnsentBatches(): Promise<void> {
    await Promise.resolve();
    for (const batch of this.unsent.splice(0)) {
      void this.send(batch);
    }
  }

  private async send(batch: OffloadBatch): Promise<void> {
    this.sent.add(batch);
    const result = await this.sendOnce(batch);
    switch (result) {
      case 'not-started':
      case 'gone':
        this.options.slots.setFreeSlots(batch.incarnation, 0);
        resolveAll(batch, { kind: 'not-started' });
        break;
      case 'unclear':
        await this.retryUntilAnswered(batch);
        break;
      default:
        this.resolveEnds(batch, result);
    }
    this.sent.delete(batch);
  }

  /**
   * Asks the same incarnation, which recognises the tasks; any other would start them again.
   * Repeatable tasks are tried elsewhere at once.
   */
  private async retryUntilAnswered(batch: OffloadBatch): Promise<void> {
    this.options.slots.setFreeSlots(batch.incarnation, 0);
    for (const { entry, end } of batch.offloads) {
      if (entry.task.operation.kind === 'repeatable') {
        end.resolve({ kind: 'lost' });
      }
    }
    for (let ask = 0; ask < maxRetries && this.sent.has(batch); ask += 1) {
      await this.options.clock.sleep(firstRetryPauseMs * 2 ** ask, this.stop.signal);
      const result = await this.sendOnce(batch);
      if (typeof result === 'object') {
        this.resolveEnds(batch, result);
        return;
      }
      if (result === 'gone') {
        break;
      }
    }
    resolveAll(batch, { kind: 'lost' });
  }

  private async sendOnce({ incarnation, offloads: passages }: OffloadBatch): Promise<SendResult> {
    const nowMs = this.options.clock.nowMs();
    const tasks = passages
      .map((passage) => toPassedTask(passage, nowMs))
      .filter(({ timeLeftMs }) => timeLeftMs > 0);
    const link = this.options.peers.linkTo(incarnation);
    if (link === undefined || tasks.length === 0) {
      return 'not-started';
    }
    const reply = await link.passTasks({ incarnation, tasks }, this.stop.signal);
    if (reply.isOk()) {
      return this.readReply(incarnation, reply.value);
    }
    return reply.error.kind === 'not-sent' ? 'not-started' : 'unclear';
  }

  private readReply(incarnation: string, reply: PassTasksReply): SendResult {
    switch (reply.kind) {
      case 'ended':
        this.options.slots.setFreeSlots(incarnation, reply.freeSlots);
        return reply.ends;
      case 'other-incarnation':
        return 'gone';
      default:
        return unreachable(reply);
    }
  }

  /** Matches the ends to the tasks; a task without an end may have been started. */
  private resolveEnds(batch: OffloadBatch, ends: readonly PassedTaskEnd[]): void {
    const byTaskId = new Map(ends.map((end) => [end.taskId, end]));
    if (ends.some(({ outcome }) => outcome.kind === 'not-run')) {
      this.options.slots.setFreeSlots(batch.incarnation, 0);
    }
    for (const { entry, end } of batch.offloads) {
      const found = byTaskId.get(entry.task.taskId);
      end.resolve(found === undefined ? { kind: 'lost' } : toOffloadEnd(found));
      if (found?.outcome.kind === 'done') {
        const { slots } = this.options;
        slots.recordRunTime(batch.incarnation, entry.task.operation, found.elapsedMs);
      }
    }
  }
}

const resolveAll = ({ offloads: passages }: OffloadBatch, end: OffloadEnd): void => {
  passages.forEach((passage) => passage.end.resolve(end));
};

const toOffloadEnd = ({ outcome, elapsedMs }: PassedTaskEnd): OffloadEnd =>
  outcome.kind === 'not-run' ? { kind: 'not-started' } : { kind: 'ended', outcome, elapsedMs };

const toPassedTask = ({ entry: { task }, pass }: PendingOffload, nowMs: number): PassedTask => ({
  taskId: task.taskId,
  pass,
  jobId: task.jobId,
  callerId: task.callerId,
  teamId: task.teamId,
  callerClass: task.callerClass,
  operationId: task.operation.operationId,
  input: task.input,
  timeLeftMs: task.deadlineAtMs - nowMs,
});
