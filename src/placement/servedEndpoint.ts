/**
 * Serves one endpoint that this daemon dispatches to: one async function for each of its slots, and
 * pauses, quarantine and probes by its health.
 */
import { unreachable } from '../errors/unreachable.js';
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Clock } from '../ports/clock.js';
import type { AttemptEnd, AttemptRunner } from './attemptRunner.js';
import { EndpointHealth } from './endpointHealth.js';
import type { HealthVerdict } from './endpointHealth.js';
import type { EndpointPool } from './endpointPool.js';
import type { Assignment, PooledEndpoint } from './pooledEndpoint.js';
import type { Quarantine } from './quarantine.js';

/** Time for which a probe accepts only a repeatable task; then it accepts any. */
const repeatableOnlyProbeMs = 1_000;

export interface ServedEndpointOptions {
  readonly clock: Clock;
  readonly pool: EndpointPool;
  readonly attempts: AttemptRunner;
  readonly quarantine: Quarantine;
  /** Called when a slot becomes idle or the endpoint accepts tasks again; assigns waiting tasks. */
  readonly dispatch: () => void;
  /** Called with the end of each attempt. */
  readonly ended: (assignment: Assignment, pooled: PooledEndpoint, end: AttemptEnd) => void;
}

export class ServedEndpoint {
  private readonly stop = new AbortController();
  private readonly pooled: PooledEndpoint;
  private readonly health = EndpointHealth.create();
  private slots: Promise<void>[] = [];
  /** Monotonic time until which the endpoint is suspended, in milliseconds. */
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

  /** Returns whether this serves a published endpoint; unchanged ones stay the same objects. */
  isServing(placed: PlacedEndpoint): boolean {
    return placed === this.placed;
  }

  /** Accepts no more tasks and waits for the running ones. */
  async close(): Promise<void> {
    this.stop.abort();
    this.options.pool.remove(this.pooled);
    this.options.quarantine.leave(this.pooled);
    await Promise.all(this.slots);
  }

  /** Runs one task after the other on a slot, until the endpoint is closed. */
  private async serveSlot(): Promise<void> {
    const { pool, dispatch } = this.options;
    while (!this.stop.signal.aborted) {
      const slot = pool.addIdleSlot(this.pooled);
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

  /**
   * Records the reply in the health of the endpoint, then suspends or resumes it. An attempt
   * without a reply, which this daemon stopped or never sent, counts as no fault and resumes it.
   */
  private applyHealthVerdict(end: AttemptEnd): void {
    const verdict: HealthVerdict =
      end.kind === 'replied' ? this.health.recordReply(end.reply) : { kind: 'open' };
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

  /** Makes the endpoint available again. */
  private resume(): void {
    this.suspendedUntilMs = -Infinity;
    this.options.quarantine.leave(this.pooled);
    if (this.pooled.availability.kind !== 'available') {
      this.options.pool.setAvailability(this.pooled, { kind: 'available' });
      this.options.dispatch();
    }
  }

  /**
   * Suspends the endpoint, unless it is suspended for longer already.
   *
   * @param durationMs - how long
   * @param onElapsed - called afterwards, unless a later suspension has replaced this one
   */
  private async suspendFor(durationMs: number, onElapsed: () => void): Promise<void> {
    const { clock, pool } = this.options;
    const untilMs = clock.nowMs() + durationMs;
    if (untilMs <= this.suspendedUntilMs) {
      return;
    }
    this.suspendedUntilMs = untilMs;
    pool.setAvailability(this.pooled, { kind: 'suspended' });
    await clock.sleep(durationMs, this.stop.signal);
    if (this.suspendedUntilMs === untilMs && !this.stop.signal.aborted) {
      onElapsed();
    }
  }

  /** Probes the endpoint with one task: at first a repeatable one, since that can be retried. */
  private async startProbing(): Promise<void> {
    const { clock, pool, dispatch } = this.options;
    const repeatableOnlyProbe = { kind: 'probe', accepts: 'repeatable' } as const;
    pool.setAvailability(this.pooled, repeatableOnlyProbe);
    dispatch();
    await clock.sleep(repeatableOnlyProbeMs, this.stop.signal);
    if (this.pooled.availability === repeatableOnlyProbe && !this.stop.signal.aborted) {
      pool.setAvailability(this.pooled, { kind: 'probe', accepts: 'any' });
      dispatch();
    }
  }
}
