/**
 * Keeps the teams whose quota lets nothing start now out of the order, until it does again.
 */
import { QuotaGate } from '../limits/quotaGate.js';
import type { TimedLimit } from '../limits/quotaGate.js';
import type { Clock } from '../ports/clock.js';
import type { ClassQueue } from './classQueue.js';
import { Openings } from './openings.js';

export class QuotaParking {
  /** What the teams with quotas use and may use. */
  readonly gate: QuotaGate;
  private readonly openings: Openings;
  private readonly parked = new Set<string>();
  private readonly listeners: (() => void)[] = [];

  private constructor(
    clock: Clock,
    private readonly classes: readonly ClassQueue[],
  ) {
    this.gate = QuotaGate.create(clock);
    this.openings = Openings.create(clock, () => this.openDue());
  }

  /**
   * @param clock - the time
   * @param classes - the waiting work of every class
   */
  static create(clock: Clock, classes: readonly ClassQueue[]): QuotaParking {
    return new QuotaParking(clock, classes);
  }

  /** Calls a listener when a team that was kept out may start tasks again. */
  onOpening(listener: () => void): void {
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
    this.park(teamId);
    if (wasParked && !this.isParked(teamId)) {
      this.notify();
    }
  }

  /** Tells whether its quota lets a team start nothing now. */
  isParked(teamId: string): boolean {
    return this.parked.has(teamId);
  }

  started(teamId: string): void {
    this.gate.started(teamId);
    this.park(teamId);
  }

  ended(teamId: string): void {
    this.gate.ended(teamId);
    this.park(teamId);
  }

  /** Takes back a start that did not happen. */
  undoStart(teamId: string): void {
    this.gate.undoStart(teamId);
    this.park(teamId);
  }

  close(): Promise<void> {
    return this.openings.close();
  }

  private openDue(): void {
    this.openings.takeDue().forEach((teamId) => this.park(teamId));
    this.notify();
  }

  private notify(): void {
    this.listeners.forEach((listener) => listener());
  }

  /** Parks a team that may start nothing now, or opens it. */
  private park(teamId: string): void {
    const isOpen = this.openings.set(teamId, this.gate.openAtMs(teamId));
    if (isOpen !== this.parked.has(teamId)) {
      return;
    }
    if (isOpen) {
      this.parked.delete(teamId);
      this.classes.forEach((waiting) => waiting.open(teamId));
    } else {
      this.parked.add(teamId);
      this.classes.forEach((waiting) => waiting.park(teamId));
    }
  }
}
