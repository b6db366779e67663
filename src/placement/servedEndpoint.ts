/**
 * One endpoint that this daemon dispatches to: one async function serves each of its slots.
 */
import { unreachable } from '../errors/unreachable.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Clock } from '../ports/clock.js';
import type { AttemptEnd, AttemptRunner } from './attempts.js';
import { EndpointHealth } from './endpointHealth.js';
import type { HealthVerdict } from './endpointHealth.js';
import type { EndpointPool } from './endpointPool.js';
import type { Assignment, PooledEndpoint } from './pooledEndpoint.js';
import type { Quarantine } from './quarantine.js';

/** Time for which a probe waits for a repeatable task before it takes any other. */
const repeatableOnlyProbeMs = 1_000;

export interface ServedEndpointOptions {
  readonly clock: Clock;
  readonly pool: EndpointPool;
  readonly attempts: AttemptRunner;
  readonly quarantine: Quarantine;
  /** Looks for tasks when a slot becomes idle. */
  readonly dispatch: () => void;
  /** Takes the end of an attempt. */
  readonly ended: (assignment: Assignment, pooled: PooledEndpoint, end: AttemptEnd) => void;
}

export class ServedEndpoint {
  private readonly stop = new AbortController();
  private readonly pooled: PooledEndpoint;
  private readonly health = EndpointHealth.create();
  private slots: Promise<void>[] = [];
  /** Time before which the endpoint gets nothing, in milliseconds. */
  private suspendedUntilMs = -Infinity;

  private constructor(
    private readonly placed: PlacedEndpoint,
    private readonly options: ServedEndpointOptions,
  ) {
    this.pooled = options.pool.add(placed);
  }

  static create(placed: PlacedEndpoint, options: ServedEndpointOptions): ServedEndpoint {
    const served = new ServedEndpoint(placed, options);
    served.slots = Array.from({ length: placed.worker.slots }, () => served.serveSlot());
    return served;
  }

  /** Tells whether a published endpoint is this one; unchanged ones stay the same objects. */
  isServing(placed: PlacedEndpoint): boolean {
    return placed === this.placed;
  }

  /** Takes no more tasks, and waits for those that run. */
  async close(): Promise<void> {
    this.stop.abort();
    this.options.pool.remove(this.pooled);
    this.options.quarantine.leave(this.pooled);
    await Promise.all(this.slots);
  }

  /** Runs one task after the other, until the endpoint is not served. */
  private async serveSlot(): Promise<void> {
    const { pool, dispatch } = this.options;
    while (!this.stop.signal.aborted) {
      const slot = pool.addIdle(this.pooled);
      dispatch();
      const assignment = await slot.next.promise;
      if (assignment === undefined) {
        return;
      }
      await this.runAttempt(assignment);
    }
  }

  private async runAttempt(assignment: Assignment): Promise<void> {
    const { attempts, pool, ended } = this.options;
    const end = await attempts.run(assignment.attempt);
    pool.ended(this.pooled, assignment);
    this.applyHealthVerdict(end);
    ended(assignment, this.pooled, end);
  }

  /** Decides whether the endpoint goes on getting tasks; what is stopped here says nothing. */
  private applyHealthVerdict(end: AttemptEnd): void {
    const verdict: HealthVerdict =
      end.kind === 'replied' ? this.health.note(end.reply) : { kind: 'open' };
    switch (verdict.kind) {
      case 'open':
        this.resume();
        return;
      case 'pause':
        void this.suspendFor(verdict.durationMs, () => this.resume());
        return;
      case 'quarantine':
        if (this.options.quarantine.tryEnter(this.pooled)) {
          void this.suspendFor(verdict.durationMs, () => void this.startProbing());
        }
        return;
      default:
        return unreachable(verdict);
    }
  }

  private resume(): void {
    this.suspendedUntilMs = -Infinity;
    this.options.quarantine.leave(this.pooled);
    if (this.pooled.availability.kind !== 'open') {
      this.options.pool.setAvailability(this.pooled, { kind: 'open' });
      this.options.dispatch();
    }
  }

  /** Closes the endpoint for a time, unless it is closed for longer already. */
  private async suspendFor(durationMs: number, reopen: () => void): Promise<void> {
    const { clock, pool } = this.options;
    const untilMs = clock.nowMs() + durationMs;
    if (untilMs <= this.suspendedUntilMs) {
      return;
    }
    this.suspendedUntilMs = untilMs;
    pool.setAvailability(this.pooled, { kind: 'closed' });
    await clock.sleep(durationMs, this.stop.signal);
    if (this.suspendedUntilMs === untilMs && !this.stop.signal.aborted) {
      reopen();
    }
  }

  /** Lets one task try the endpoint: a repeatable one at first, since its failure costs least. */
  private async startProbing(): Promise<void> {
    const { clock, pool, dispatch } = this.options;
    const offered = { kind: 'probe', accepts: 'repeatable' } as const;
    pool.setAvailability(this.pooled, offered);
    dispatch();
    await clock.sleep(repeatableOnlyProbeMs, this.stop.signal);
    if (this.pooled.availability === offered && !this.stop.signal.aborted) {
      pool.setAvailability(this.pooled, { kind: 'probe', accepts: 'any' });
      dispatch();
    }
  }
}
