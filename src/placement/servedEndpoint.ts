/**
 * One endpoint that this daemon dispatches to: one async function serves each of its slots.
 */
import type { PlacedEndpoint } from '../inventory/inventoryIndex.js';
import type { Clock } from '../ports/clock.js';
import type { AttemptEnd, Attempts } from './attempts.js';
import type { EndpointPool } from './endpointPool.js';
import type { Assignment, PooledEndpoint } from './pooledEndpoint.js';

const busyPauseMs = 20;

export interface ServedEndpointOptions {
  readonly clock: Clock;
  readonly pool: EndpointPool;
  readonly attempts: Attempts;
  /** Looks for tasks when a slot becomes idle. */
  readonly dispatch: () => void;
  /** Takes the end of an attempt. */
  readonly ended: (assignment: Assignment, pooled: PooledEndpoint, end: AttemptEnd) => void;
}

export class ServedEndpoint {
  private readonly stop = new AbortController();
  private readonly pooled: PooledEndpoint;
  private slots: Promise<void>[] = [];

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
  isFor(placed: PlacedEndpoint): boolean {
    return placed === this.placed;
  }

  /** Takes no more tasks, and waits for those that run. */
  async close(): Promise<void> {
    this.stop.abort();
    this.options.pool.remove(this.pooled);
    await Promise.all(this.slots);
  }

  /** Runs one task after the other, until the endpoint is not served. */
  private async serveSlot(): Promise<void> {
    const { clock, pool, dispatch } = this.options;
    while (!this.stop.signal.aborted) {
      const slot = pool.addIdle(this.pooled);
      dispatch();
      const assignment = await slot.next.promise;
      if (assignment === undefined) {
        return;
      }
      const end = await this.runAttempt(assignment);
      if (end.kind === 'replied' && end.reply.kind === 'not-started') {
        await clock.sleep(busyPauseMs, this.stop.signal);
      }
    }
  }

  private async runAttempt(assignment: Assignment): Promise<AttemptEnd> {
    const { attempts, pool, ended } = this.options;
    const end = await attempts.run(assignment.attempt);
    pool.ended(this.pooled, assignment);
    ended(assignment, this.pooled, end);
    return end;
  }
}
