/**
 * Throttles each team whose quota allows no start, until the quota allows one again.
 */
import { QuotaLimiter } from '../limits/quotaLimiter.js';
import type { TimedLimit } from '../limits/quotaLimiter.js';
import type { Clock } from '../ports/clock.js';
import type { ClassQueue } from './classQueue.js';
import { UnthrottleSchedule } from './unthrottleSchedule.js';

export class QuotaThrottle {
  /** Quota and use of each team that has a quota. */
  readonly limiter: QuotaLimiter;
  /** When the throttled teams may start again. */
  private readonly schedule: UnthrottleSchedule;
  private readonly throttled = new Set<string>();
  private readonly listeners: (() => void)[] = [];

  private constructor(
    clock: Clock,
    private readonly classes: readonly ClassQueue[],
  ) {
    this.limiter = QuotaLimiter.create(clock);
    this.schedule = UnthrottleSchedule.create(clock, () => this.unthrottleDue());
  }

  /**
   * Creates a throttle without quotas.
   *
   * @param clock - clock of this process
   * @param classes - the waiting work of every class
   */
  static create(clock: Clock, classes: readonly ClassQueue[]): QuotaThrottle {
    return new QuotaThrottle(clock, classes);
  }

  /** Registers a listener that is called when a throttled team may start tasks again. */
  onUnthrottle(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Sets the quota of a team.
   *
   * @param teamId - the team
   * @param timed - its limit, or undefined for a team without quota
   * @param running - number of its tasks that hold a slot; used if it had no quota before
   */
  setLimit(teamId: string, timed: TimedLimit | undefined, running: number): void {
    this.limiter.setLimit(teamId, timed, running);
    const wasThrottled = this.isThrottled(teamId);
    this.updateTeam(teamId);
    if (wasThrottled && !this.isThrottled(teamId)) {
      this.notify();
    }
  }

  /** Returns whether a team is throttled: its quota allows no start now. */
  isThrottled(teamId: string): boolean {
    return this.throttled.has(teamId);
  }

  /** Records that a task of a team started. */
  started(teamId: string): void {
    this.limiter.started(teamId);
    this.updateTeam(teamId);
  }

  /** Records that a task of a team left its slot. */
  ended(teamId: string): void {
    this.limiter.ended(teamId);
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

  /** Throttles a team whose quota allows no start now, or ends its throttling. */
  private updateTeam(teamId: string): void {
    const mayStart = this.schedule.set(teamId, this.limiter.nextStartAtMs(teamId));
    if (mayStart !== this.throttled.has(teamId)) {
      return;
    }
    if (mayStart) {
      this.throttled.delete(teamId);
      this.classes.forEach((classQueue) => classQueue.unthrottle(teamId));
    } else {
      this.throttled.add(teamId);
      this.classes.forEach((classQueue) => classQueue.throttle(teamId));
    }
  }
}
