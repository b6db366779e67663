/**
 * Decides from the outcomes of its runs whether a worker may start more: pauses it when it refuses
 * starts, and quarantines it when its runs fail.
 */
import type { Clock } from '../ports/clock.js';
import { EndpointHealth } from '../placement/endpointHealth.js';
import type { HealthVerdict } from '../placement/endpointHealth.js';
import { unreachable } from '../errors/unreachable.js';
import type { ActiveRun } from './activeRun.js';

/** A run is overdue after its expected run time, times this factor, plus `overdueSlackMs`. */
const overdueFactor = 2;
const overdueSlackMs = 120;
/** Pause after a refusal for lack of capacity; the report relied on was at most this old. */
const busyPauseMs = 40;

export class WorkerHealth {
  private readonly endpointHealth = EndpointHealth.create();
  private pausedUntilMs = -Infinity;
  /** Whether only one run at a time may start, since the worker was quarantined. */
  private isOnProbation = false;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): WorkerHealth {
    return new WorkerHealth(clock);
  }

  /**
   * Returns whether a run may start.
   *
   * @param runCount - runs that the worker has now
   */
  canStart(runCount: number): boolean {
    return this.clock.nowMs() >= this.pausedUntilMs && (!this.isOnProbation || runCount === 0);
  }

  /** Records a successful run, which ends the probation. */
  recordSuccess(): void {
    this.isOnProbation = false;
    this.applyVerdict(
      this.endpointHealth.recordReply({ kind: 'done', result: undefined, runTimeMs: 0 }),
    );
  }

  /** Records a run that failed or is overdue. */
  recordFault(): void {
    this.applyVerdict(
      this.endpointHealth.recordReply({ kind: 'failed', fault: 'endpoint', detail: '' }),
    );
  }

  /** Records a start that was not delivered, or that the worker refused like all orders. */
  recordUnreachable(): void {
    this.applyVerdict(
      this.endpointHealth.recordReply({ kind: 'not-started', reason: 'unreachable' }),
    );
  }

  /** Records a start that was refused for lack of free capacity. */
  recordBusy(): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.clock.nowMs() + busyPauseMs);
  }

  /** Returns whether a run takes so much longer than expected that it is to be stopped. */
  isOverdue(run: ActiveRun, nowMs: number): boolean {
    const startedAtMs = run.startedAtMs ?? run.startSentAtMs;
    return nowMs - startedAtMs > run.expectedMs * overdueFactor + overdueSlackMs;
  }

  private applyVerdict(verdict: HealthVerdict): void {
    switch (verdict.kind) {
      case 'open':
        return;
      case 'pause':
        this.pausedUntilMs = this.clock.nowMs() + verdict.durationMs;
        return;
      case 'quarantine':
        this.pausedUntilMs = this.clock.nowMs() + verdict.durationMs;
        this.isOnProbation = true;
        return;
      default:
        return unreachable(verdict);
    }
  }
}
