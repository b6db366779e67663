/**
 * Offloads waiting tasks to peers with free slots. Tasks of one job that go to the same peer at the
 * same time share one message.
 */
import { unreachable } from '../errors/unreachable.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { Clock } from '../ports/clock.js';
import type { PendingTask } from '../queue/types.js';
import { createDeferred } from '../utils/deferred.js';
import { resolveAll, toOffloadEnd } from './offloadBatch.js';
import type { OffloadBatch, OffloadEnd, PendingOffload } from './offloadBatch.js';
import { requestOffload } from './offloadRequest.js';
import type { RequestResult } from './offloadRequest.js';
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
    switch (result.kind) {
      case 'ended':
        this.resolveEnds(batch, result);
        break;
      case 'not-started':
      case 'other-incarnation':
        this.options.slots.setFreeSlots(batch.incarnation, 0);
        resolveAll(batch, { kind: 'not-started' });
        break;
      case 'unknown':
        await this.retryUntilAnswered(batch);
        break;
      default:
        unreachable(result);
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
      if (result.kind === 'ended') {
        this.resolveEnds(batch, result);
        return;
      }
      if (result.kind === 'other-incarnation') {
        break;
      }
    }
    resolveAll(batch, { kind: 'lost' });
  }

  private sendOnce(batch: OffloadBatch): Promise<RequestResult> {
    const { clock, peers } = this.options;
    const link = peers.linkTo(batch.incarnation);
    return requestOffload(link, batch, clock.nowMs(), this.stop.signal);
  }

  /** Resolves each offload with the end of its task; a task without one may have been started. */
  private resolveEnds(
    batch: OffloadBatch,
    { ends, freeSlots }: Extract<RequestResult, { kind: 'ended' }>,
  ): void {
    this.options.slots.setFreeSlots(batch.incarnation, freeSlots);
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
