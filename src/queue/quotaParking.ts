/**
 * Keeps the teams whose quota lets nothing start now out of the order, until it does again.
 */
import { QuotaGate } from '../limits/quotaGate.js';
import type { TimedLimit } from '../limits/quotaGate.js';
import type { Clock } from '../ports/clock.js';
import type { ClassQueue } from './classQueue.js';
import { UnthrottleSchedule } from './openings.js';

export class QuotaThrottle {
  /** What the teams with quotas use and may use. */
  readonly gate: QuotaGate;
  private readonly schedule: UnthrottleSchedule;
  private readonly throttled = new Set<string>();
  private readonly listeners: (() => void)[] = [];

  private constructor(
    clock: Clock,
    private readonly classes: readonly ClassQueue[],
  ) {
    this.gate = QuotaGate.create(clock);
    this.schedule = UnthrottleSchedule.create(clock, () => this.unthrottleDue());
  }

  /**
   * @param clock - the time
   * @param classes - the waiting work of every class
   */
  static create(clock: Clock, classes: readonly ClassQueue[]): QuotaThrottle {
    return new QuotaThrottle(clock, classes);
  }

  /** Calls a listener when a team that was kept out may start tasks again. */
  onUnthrottle(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Sets what a team may use.
   *
   * @param teamId - the team
   * @param timed - its limit, or nothing without quota
   * @param running - tasks that hold a slot, for a team that had no quota before
   */
  setLimit(teamId: string, timed: TimedLimit | undefined, running: number): void {
    this.gate.setLimit(teamId, timed, running);
    const wasParked = this.isParked(teamId);
    this.updateTeam(teamId);
    if (wasParked && !this.isParked(teamId)) {
      this.notify();
    }
  }

  /** Tells whether its quota lets a team start nothing now. */
  isParked(teamId: string): boolean {
    return this.throttled.has(teamId);
  }

  started(teamId: string): void {
    this.gate.started(teamId);
    this.updateTeam(teamId);
  }

  ended(teamId: string): void {
    this.gate.ended(teamId);
    this.updateTeam(teamId);
  }

  /** Takes back a start that did not happen. */
  undoStart(teamId: string): void {
    this.gate.undoStart(teamId);
    this.updateTeam(teamId);
  }

  close(): Promise<void> {
    return this.schedule.close();
  }

  private unthrottleDue(): void {
    this.schedule.takeDue().forEach((teamId) => this.updateTeam(teamId));
    this.notify();
  }

  private notify(): void {
    this.listeners.forEach((listener) => listener());
  }

  /** Parks a team that may start nothing now, or opens it. */
  private updateTeam(teamId: string): void {
    const isOpen = this.schedule.schedule(teamId, this.gate.openAtMs(teamId));
    if (isOpen !== this.throttled.has(teamId)) {
      return;
    }
    if (isOpen) {
      this.throttled.delete(teamId);
      this.classes.forEach((waiting) => waiting.unthrottle(teamId));
    } else {
      this.throttled.add(teamId);
      this.classes.forEach((waiting) => waiting.throttle(teamId));
    }
  }
}
