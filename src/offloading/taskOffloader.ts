/**
 * Offloads waiting tasks to peers with free slots. Tasks of one job that go to the same peer at the
 * same time share one message.
 */
import { unreachable } from '../errors/unreachable.js';
import type { TaskOutcome } from '../types/jobs.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { Clock } from '../ports/clock.js';
import type { OffloadReply, OffloadedTask, OffloadedTaskEnd } from '../ports/peers.js';
import type { PendingTask } from '../queue/types.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import type { PeerSlots } from './peerSlots.js';

/** Maximum input bytes in one message, counted by the declared bounds of the operations. */
const maxMessageBytes = 3_000_000;
/** Pause before the first retry of a request without an answer; doubles with each retry. */
const firstRetryPauseMs = 100;
const maxRetries = 5;
const withdrawTimeoutMs = 1_000;

export interface TaskOffloaderOptions {
  readonly clock: Clock;
  readonly peers: Pick<PeerSet, 'linkTo'>;
  readonly slots: PeerSlots;
}

/** How an offload ended. */
export type OffloadEnd =
  | { readonly kind: 'ended'; readonly outcome: TaskOutcome; readonly elapsedMs: number }
  /** The peer certainly did not start the task. */
  | { readonly kind: 'not-started' }
  /** The peer may have started the task, and its end is not known. */
  | { readonly kind: 'lost' }
  /** The job of the task has ended. `isSent`: the peer may have started the task. */
  | { readonly kind: 'withdrawn'; readonly isSent: boolean };

/** An offload that has not ended. */
interface PendingOffload {
  readonly entry: PendingTask;
  /** Number of the attempt, by which the peer recognises the task if it is sent again. */
  readonly attempt: number;
  readonly end: Deferred<OffloadEnd>;
}

/** Tasks of one job that go to one peer in one message. */
interface OffloadBatch {
  readonly incarnation: string;
  readonly jobId: string;
  readonly offloads: PendingOffload[];
  /** Largest size that their inputs may have, by the declared bounds. */
  bytes: number;
}

/**
 * Result of one request: the ends of the tasks, or why there are none. `not-started`: the request
 * was not sent or did not reach the peer. `other-incarnation`: another process answered and started
 * nothing. `unknown`: the peer may have started the tasks.
 */
type SendResult = 'not-started' | 'unknown' | 'other-incarnation' | readonly OffloadedTaskEnd[];

export class TaskOffloader {
  /** Batches that are sent in the next microtask. */
  private unsent: OffloadBatch[] = [];
  /** Batches that were sent and have not ended. */
  private readonly sent = new Set<OffloadBatch>();
  private readonly stop = new AbortController();

  private constructor(private readonly options: TaskOffloaderOptions) {}

  static create(options: TaskOffloaderOptions): TaskOffloader {
    return new TaskOffloader(options);
  }

  /**
   * Offloads a task.
   *
   * @param entry - the task
   * @param incarnation - incarnation of the peer
   * @returns how the offload ended; never rejects
   */
  offload(entry: PendingTask, incarnation: string): Promise<OffloadEnd> {
    entry.attempts += 1;
    const offload: PendingOffload = { entry, attempt: entry.attempts, end: createDeferred() };
    const { jobId, operation } = entry.task;
    this.options.slots.reserveSlot(incarnation);
    if (this.unsent.length === 0) {
      void this.sendUnsentBatches();
    }
    const batch = this.findOrCreateBatch(incarnation, jobId, operation.maxInputBytes);
    batch.offloads.push(offload);
    batch.bytes += operation.maxInputBytes;
    return offload.end.promise;
  }

  /**
   * Ends the offloads of a job. Unsent tasks are not sent, and each peer that got tasks receives
   * one message to stop them.
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

  /** Aborts the requests that have no answer yet. */
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

  /** Sends after the current round of decisions, so that tasks chosen in it share messages. */
  private async sendUnsentBatches(): Promise<void> {
    await Promise.resolve();
    for (const batch of this.unsent.splice(0)) {
      void this.send(batch);
    }
  }

  /** Sends a batch and resolves its offloads. */
  private async send(batch: OffloadBatch): Promise<void> {
    this.sent.add(batch);
    const result = await this.sendOnce(batch);
    switch (result) {
      case 'not-started':
      case 'other-incarnation':
        this.options.slots.setFreeSlots(batch.incarnation, 0);
        resolveAll(batch, { kind: 'not-started' });
        break;
      case 'unknown':
        await this.retryUntilAnswered(batch);
        break;
      default:
        this.resolveEnds(batch, result);
    }
    this.sent.delete(batch);
  }

  /**
   * Repeats the request to the same incarnation, which recognises the tasks; any other would start
   * them again. Repeatable tasks are given up at once, so that they can be retried elsewhere.
   */
  private async retryUntilAnswered(batch: OffloadBatch): Promise<void> {
    this.options.slots.setFreeSlots(batch.incarnation, 0);
    for (const { entry, end } of batch.offloads) {
      if (entry.task.operation.kind === 'repeatable') {
        end.resolve({ kind: 'lost' });
      }
    }
    for (let retry = 0; retry < maxRetries && this.sent.has(batch); retry += 1) {
      await this.options.clock.sleep(firstRetryPauseMs * 2 ** retry, this.stop.signal);
      const result = await this.sendOnce(batch);
      if (typeof result === 'object') {
        this.resolveEnds(batch, result);
        return;
      }
      if (result === 'other-incarnation') {
        break;
      }
    }
    resolveAll(batch, { kind: 'lost' });
  }

  /** Sends the tasks of a batch whose deadline has not passed. */
  private async sendOnce({ incarnation, offloads }: OffloadBatch): Promise<SendResult> {
    const nowMs = this.options.clock.nowMs();
    const tasks = offloads
      .map((offload) => toOffloadedTask(offload, nowMs))
      .filter(({ timeLeftMs }) => timeLeftMs > 0);
    const link = this.options.peers.linkTo(incarnation);
    if (link === undefined || tasks.length === 0) {
      return 'not-started';
    }
    const reply = await link.passTasks({ incarnation, tasks }, this.stop.signal);
    if (reply.isOk()) {
      return this.readReply(incarnation, reply.value);
    }
    return reply.error.kind === 'not-sent' ? 'not-started' : 'unknown';
  }

  private readReply(incarnation: string, reply: OffloadReply): SendResult {
    switch (reply.kind) {
      case 'ended':
        this.options.slots.setFreeSlots(incarnation, reply.freeSlots);
        return reply.ends;
      case 'other-incarnation':
        return 'other-incarnation';
      default:
        return unreachable(reply);
    }
  }

  /** Resolves each offload with the end of its task; a task without one may have been started. */
  private resolveEnds(batch: OffloadBatch, ends: readonly OffloadedTaskEnd[]): void {
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

const resolveAll = ({ offloads }: OffloadBatch, end: OffloadEnd): void => {
  offloads.forEach((offload) => offload.end.resolve(end));
};

/** An outcome `not-run` means that the task can run elsewhere. */
const toOffloadEnd = ({ outcome, elapsedMs }: OffloadedTaskEnd): OffloadEnd =>
  outcome.kind === 'not-run' ? { kind: 'not-started' } : { kind: 'ended', outcome, elapsedMs };

const toOffloadedTask = (
  { entry: { task }, attempt }: PendingOffload,
  nowMs: number,
): OffloadedTask => ({
  taskId: task.taskId,
  pass: attempt,
  jobId: task.jobId,
  callerId: task.callerId,
  teamId: task.teamId,
  callerClass: task.callerClass,
  operationId: task.operation.operationId,
  input: task.input,
  timeLeftMs: task.deadlineAtMs - nowMs,
});
