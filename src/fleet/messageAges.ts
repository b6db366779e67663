/**
 * Estimates how old a message of another daemon is when it is handled. Messages may be held up for
 * seconds, by a link or while one of the two processes is paused. The monotonic clocks of two VMs
 * differ by an unknown offset: the smallest difference between the time of receipt and the time of
 * sending among the last heartbeats is that offset and the shortest delay.
 */
import type { Clock } from '../ports/clock.js';

/** Heartbeats of each process whose differences are kept. */
const keptDifferences = 12;

export class MessageAges {
  /** Time of receipt less time of sending of the last heartbeats, by incarnation of the sender. */
  private readonly differencesMs = new Map<string, number[]>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): MessageAges {
    return new MessageAges(clock);
  }

  /**
   * Records a heartbeat that has just been received.
   *
   * @param incarnation - the sender
   * @param sentAtMs - when it was sent, on the sender's monotonic clock
   * @returns its age, in milliseconds
   */
  recordHeartbeat(incarnation: string, sentAtMs: number): number {
    const differences = this.differencesMs.get(incarnation) ?? [];
    differences.push(this.clock.nowMs() - sentAtMs);
    if (differences.length > keptDifferences) {
      differences.shift();
    }
    this.differencesMs.set(incarnation, differences);
    return this.ageMs(incarnation, sentAtMs);
  }

  /**
   * Estimates the age of a message, in milliseconds.
   *
   * @returns 0 for a process that has sent no heartbeat yet
   */
  ageMs(incarnation: string, sentAtMs: number): number {
    const differences = this.differencesMs.get(incarnation);
    return differences === undefined
      ? 0
      : Math.max(0, this.clock.nowMs() - sentAtMs - Math.min(...differences));
  }

  /** Forgets a process that was replaced or is gone. */
  forget(incarnation: string): void {
    this.differencesMs.delete(incarnation);
  }
}
