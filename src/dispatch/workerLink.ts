/**
 * The orders to one worker, under the fencing token of the present grant.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { HoldReply, StartReply, WorkerPort } from '../ports/workers.js';
import type { WorkerRecord } from '../types/workers.js';
import type { ActiveRun } from './activeRun.js';
import { LeaseClock } from './leaseClock.js';

const startTimeoutMs = 150;
const stopTimeoutMs = 150;
/** A hold is given up this long after the wait that it asked for. */
const holdSlackMs = 200;

/** What a hold asks for. */
export interface HoldRequest {
  readonly lastSeenEnd: number;
  readonly waitMs: number;
  readonly renewsLeases: boolean;
}

export interface WorkerLinkOptions {
  readonly record: WorkerRecord;
  readonly fencingToken: number;
  readonly clock: Clock;
  readonly workers: WorkerPort;
  readonly logger: Logger;
  readonly leaseMs: number;
}

export class WorkerLink {
  readonly leases: LeaseClock;
  record: WorkerRecord;
  private token: number;
  /** The token that was refused, if one was; it is not tried again. */
  private refusedToken = -1;

  private constructor(private readonly options: WorkerLinkOptions) {
    this.record = options.record;
    this.token = options.fencingToken;
    this.leases = LeaseClock.create(options.clock, options.leaseMs);
  }

  static create(options: WorkerLinkOptions): WorkerLink {
    return new WorkerLink(options);
  }

  get workerId(): string {
    return this.record.workerId;
  }

  /** Tells whether another daemon has used a higher token. */
  get isFenced(): boolean {
    return this.token <= this.refusedToken;
  }

  /**
   * Takes the token of a newer grant.
   *
   * @returns whether it is higher
   */
  raiseToken(token: number): boolean {
    const isHigher = token > this.token;
    this.token = Math.max(this.token, token);
    return isHigher;
  }

  async start(run: ActiveRun): Promise<StartReply> {
    const order = {
      taskName: run.taskName,
      run: run.run,
      spec: run.task.batch.content.spec,
      leaseEndWorkerMs: this.leases.nextLeaseEnd(),
      fencingToken: this.token,
    };
    const reply = await this.options.workers.start(this.record, order, startTimeoutMs);
    return this.noteFence(reply, order.fencingToken);
  }

  /** @returns whether the worker has taken the stop */
  async stop(taskName: string, run: number): Promise<boolean> {
    if (this.isFenced) {
      return false;
    }
    const order = { taskName, run, fencingToken: this.token };
    const reply = await this.options.workers.stop(this.record, order, stopTimeoutMs);
    return this.noteFence(reply, order.fencingToken).kind === 'stopped';
  }

  async hold({ lastSeenEnd, waitMs, renewsLeases }: HoldRequest): Promise<HoldReply> {
    const order = {
      fencingToken: this.token,
      lastSeenEnd,
      waitMs,
      ...(renewsLeases ? { leaseEndWorkerMs: this.leases.nextLeaseEnd() } : {}),
    };
    const reply = await this.options.workers.hold(this.record, order, waitMs + holdSlackMs);
    return this.noteFence(reply, order.fencingToken);
  }

  /** Closes the connections. */
  release(): Promise<void> {
    return this.options.workers.release(this.record);
  }

  private noteFence<R extends { readonly kind: string }>(reply: R, token: number): R {
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
