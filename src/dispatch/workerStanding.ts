/**
 * Whether a worker goes on getting tasks, by how its runs went.
 */
import type { Clock } from '../ports/clock.js';
import { EndpointHealth } from '../placement/endpointHealth.js';
import type { HealthVerdict } from '../placement/endpointHealth.js';
import { unreachable } from '../errors/unreachable.js';
import type { ActiveRun } from './activeRun.js';

/** A run is overdue after this many times its expected length ... */
const overdueFactor = 2;
/** ... and this long more, in milliseconds. */
const overdueSlackMs = 120;
/** The report that shows the room is at most this old when the worker refused a start for room. */
const busyPauseMs = 40;

export class WorkerStanding {
  private readonly health = EndpointHealth.create();
  private closedUntilMs = -Infinity;
  /** Whether one run at a time tries the worker after a quarantine. */
  private isOnProbation = false;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WorkerStanding {
    return new WorkerStanding(clock);
  }

  /**
   * Tells whether a run may start.
   *
   * @param runCount - runs that are there now
   */
  mayStart(runCount: number): boolean {
    return this.clock.nowMs() >= this.closedUntilMs && (!this.isOnProbation || runCount === 0);
  }

  noteSuccess(): void {
    this.isOnProbation = false;
    this.take(this.health.note({ kind: 'done', result: undefined, runTimeMs: 0 }));
  }

  /** Notes a run that failed, was lost or hung. */
  noteFault(): void {
    this.take(this.health.note({ kind: 'failed', fault: 'endpoint', detail: '' }));
  }

  /** Notes a start that could not be delivered or was refused for no reason of its own. */
  noteRefusal(): void {
    this.take(this.health.note({ kind: 'not-started', reason: 'unreachable' }));
  }

  /** Notes a start that was refused for want of room. */
  noteBusy(): void {
    this.closedUntilMs = Math.max(this.closedUntilMs, this.clock.nowMs() + busyPauseMs);
  }

  /** Tells whether a run takes so much longer than expected that it is started elsewhere. */
  isOverdue(run: ActiveRun, nowMs: number): boolean {
    const beganAtMs = run.startedAtMs ?? run.orderedAtMs;
    return nowMs - beganAtMs > run.expectedMs * overdueFactor + overdueSlackMs;
  }

  private take(verdict: HealthVerdict): void {
    switch (verdict.kind) {
      case 'open':
        return;
      case 'pause':
        this.closedUntilMs = this.clock.nowMs() + verdict.durationMs;
        return;
      case 'quarantine':
        this.closedUntilMs = this.clock.nowMs() + verdict.durationMs;
        this.isOnProbation = true;
        return;
      default:
        return unreachable(verdict);
    }
  }
}
