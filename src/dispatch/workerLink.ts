/**
 * Sends the orders to one worker, with the fencing token of the current grant.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { OrderFailure, StartReply, WorkerPort } from '../ports/workers.js';
import type { WorkerRecord, WorkerReport } from '../types/workers.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import { recordCover } from './activeRun.js';
import type { ActiveRun } from './activeRun.js';
import { LeaseClock } from './leaseClock.js';
import { LeaseCover } from './leaseCover.js';
import type { LeaseTimes } from './leaseTimes.js';
import type { Departure } from './lifetimeEnd.js';
import type { Addressee } from './silenceEvidence.js';
import { WorkerLifetime } from './workerLifetime.js';

const startTimeoutMs = 150;
const stopTimeoutMs = 150;
/** A hold times out this long after the wait that it asks for. */
const holdSlackMs = 200;

type NoAnswer = Extract<OrderFailure, { kind: 'no-answer' }>;

/** Parameters of a hold, the long poll for a report. */
export interface HoldRequest {
  /** Number of the last end that is acknowledged with it. */
  readonly lastSeenEnd: number;
  /** Time that the worker may wait for the end of a run before it answers. */
  readonly waitMs: number;
  /**
   * Latest time at which the renewed leases of all runs of the worker may end, in monotonic time; undefined to
   * renew none.
   */
  readonly renewalLimitMs: number | undefined;
}

export type LinkHoldReply =
  | {
      readonly kind: 'held';
      readonly report: WorkerReport;
      /** Earliest end of the lease that was renewed, in monotonic time; undefined if none was. */
      readonly coveredUntilMs: number | undefined;
    }
  | OrderFailure;

export interface WorkerLinkOptions {
  readonly record: WorkerRecord;
  readonly fencingToken: number;
  readonly clock: Clock;
  readonly workers: WorkerPort;
  readonly logger: Logger;
  readonly leaseTimes: LeaseTimes;
  readonly supervisor: TaskSupervisor;
}

export class WorkerLink {
  /** Who gets the orders that are still under way. */
  addressee: Addressee = 'worker';
  readonly leaseClock: LeaseClock;
  readonly lifetime: WorkerLifetime;
  private readonly cover: LeaseCover;
  private entry: WorkerRecord;
  /** Start of the last lifetime whose entry said that it was about to leave. */
  private leavingLifetimeMs: number | undefined;
  private token: number;
  /** Highest token that was refused, or -1; stops are not sent with it or a lower one. */
  private refusedToken = -1;

  private constructor(private readonly options: WorkerLinkOptions) {
    this.entry = options.record;
    this.token = options.fencingToken;
    this.leaseClock = LeaseClock.create(options.clock, options.leaseTimes);
    this.lifetime = WorkerLifetime.create(options.clock);
    this.cover = LeaseCover.create(options.leaseTimes.longestLeaseMs);
  }

  static create(options: WorkerLinkOptions): WorkerLink {
    return new WorkerLink(options);
  }

  get workerId(): string {
    return this.record.workerId;
  }

  /** The worker's entry in the store. */
  get record(): WorkerRecord {
    return this.entry;
  }

  set record(record: WorkerRecord) {
    this.leavingLifetimeMs = this.departure === 'expected' ? this.lifetime.startedAtMs : undefined;
    this.entry = record;
  }

  /** Whether the lifetime that last reported is expected to end, also where a later one has its entry now. */
  get departure(): Departure {
    const { startedAtMs } = this.lifetime;
    const wasLeaving = startedAtMs !== undefined && startedAtMs === this.leavingLifetimeMs;
    const isReplaced = this.entry.startedAtMs !== startedAtMs;
    return this.entry.state === 'draining' || (wasLeaving && isReplaced) ? 'expected' : 'crash';
  }

  /** Whether the worker has refused the token, since another daemon has used a higher one. */
  get isFenced(): boolean {
    return this.token <= this.refusedToken;
  }

  /**
   * Raises the token to that of a newer grant; a lower one is ignored.
   *
   * @returns whether the token was raised
   */
  raiseToken(token: number): boolean {
    const isHigher = token > this.token;
    this.token = Math.max(this.token, token);
    return isHigher;
  }

  /**
   * Orders the start of a run under a lease that begins now, and that covers all runs of the worker.
   *
   * @param run - the run
   * @param leaseLimitMs - latest time at which the lease may end, in monotonic time
   */
  async start(run: ActiveRun, leaseLimitMs: number): Promise<StartReply> {
    const order = {
      taskName: run.taskName,
      run: run.run,
      spec: run.task.batch.content.spec,
      leaseEndWorkerMs: this.leaseClock.issueLeaseEnd(leaseLimitMs),
      fencingToken: this.token,
    };
    const { clock, workers } = this.options;
    const requestedAtMs = clock.nowMs();
    const reply = await this.guard(() => workers.start(this.record, order, startTimeoutMs));
    if (reply.kind === 'started') {
      const { workerClockMs } = reply;
      recordCover(run, this.cover.acknowledge({ ...order, workerClockMs, requestedAtMs }));
    }
    return this.recordFencing(reply, order.fencingToken);
  }

  /**
   * Orders the stop of a run.
   *
   * @returns whether the worker has acknowledged the stop
   */
  async stop(taskName: string, run: number): Promise<boolean> {
    if (this.isFenced) {
      return false;
    }
    const order = { taskName, run, fencingToken: this.token };
    const { workers } = this.options;
    const reply = await this.guard(() => workers.stop(this.record, order, stopTimeoutMs));
    return this.recordFencing(reply, order.fencingToken).kind === 'stopped';
  }

  /** Asks for a report, and renews the leases of all runs as far as the request allows. */
  async hold({ lastSeenEnd, waitMs, renewalLimitMs }: HoldRequest): Promise<LinkHoldReply> {
    const order = {
      fencingToken: this.token,
      lastSeenEnd,
      waitMs,
      ...(renewalLimitMs === undefined
        ? {}
        : { leaseEndWorkerMs: this.leaseClock.issueLeaseEnd(renewalLimitMs) }),
    };
    const { clock, workers } = this.options;
    const requestedAtMs = clock.nowMs();
    const reply = await this.guard(() => workers.hold(this.record, order, waitMs + holdSlackMs));
    if (reply.kind !== 'held') {
      return this.recordFencing(reply, order.fencingToken);
    }
    const { leaseEndWorkerMs } = order;
    const { workerClockMs } = reply.report;
    const coveredUntilMs =
      leaseEndWorkerMs === undefined
        ? undefined
        : this.cover.acknowledge({ leaseEndWorkerMs, workerClockMs, requestedAtMs });
    return { ...reply, coveredUntilMs };
  }

  /** Closes the connections to the worker. */
  release(): Promise<void> {
    return this.options.workers.disconnect(this.record);
  }

  /** Sends an order; an error of the port says nothing of the order, which may have been carried out. */
  private async guard<R>(send: () => Promise<R>): Promise<R | NoAnswer> {
    try {
      return await send();
    } catch (error) {
      this.options.supervisor.report('an order to a worker', error);
      return { kind: 'no-answer', detail: String(error) };
    }
  }

  /** Records the token if the worker refused it; returns the reply unchanged. */
  private recordFencing<R extends { readonly kind: string }>(reply: R, token: number): R {
    if (reply.kind === 'stale-token' && token > this.refusedToken) {
      this.refusedToken = token;
      this.options.logger.warn('Another daemon dispatches to the worker.', {
        workerId: this.workerId,
        token,
      });
    }
    return reply;
  }
}
