/**
 * Estimates how old a message of another daemon is when it is handled. Messages may be held up for
 * seconds, by a link or while one of the two processes is paused. The monotonic clocks of two VMs
 * differ by an unknown offset: the smallest difference between the time of receipt and the time of
 * sending among the last heartbeats is that offset and the shortest delay.
 */
import type { Clock } from '../ports/clock.js';

/** Heartbeats of each process whose differences are kept. */
const keptDifferences = 12;
/** Round trips to each process that are kept: those of the kept differences. */
const keptRoundTrips = keptDifferences;
/** Most processes that are remembered; the one first heard of is forgotten first. */
const maxProcesses = 1_024;

/** Largest share by which the clocks of two VMs drift apart. */
const maxClockDrift = 0.000_5;

/** The smallest time of receipt less time of sending of a process's heartbeats. */
interface SmallestDifference {
  readonly differenceMs: number;
  /** When it was observed, on the clock of `MessageAges`. */
  readonly atMs: number;
}

export class MessageAges {
  /**
   * Time of receipt less time of sending of the last heartbeats, by incarnation of the sender. They are
   * kept when a process is taken for lost: messages that it sent before may still wait here.
   */
  private readonly differencesMs = new Map<string, number[]>();
  /** Smallest difference of each process so far, which is known from its second heartbeat on. */
  private readonly smallest = new Map<string, SmallestDifference>();
  /** Times that exchanges of heartbeats took, by incarnation of the other process, as either side measured. */
  private readonly roundTripsMs = new Map<string, number[]>();
  /** Time for which the VM was suspended, which the monotonic clock omits. */
  private suspendedMs = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): MessageAges {
    return new MessageAges(clock);
  }

  get size(): number {
    return this.differencesMs.size;
  }

  /** Whether a process has sent a heartbeat, without which the age of its messages cannot be estimated. */
  knows(incarnation: string): boolean {
    return this.differencesMs.has(incarnation);
  }

  /** @returns the time that a message carries which is sent now, in milliseconds */
  timestampMs(): number {
    return this.clock.nowMs() + this.suspendedMs;
  }

  /** Records that the VM was suspended, in milliseconds. */
  recordSuspension(durationMs: number): void {
    this.suspendedMs += durationMs;
  }

  /**
   * Records a heartbeat that has just been received.
   *
   * @param incarnation - the sender
   * @param sentAtMs - its timestamp
   * @returns its age, in milliseconds
   */
  recordHeartbeat(incarnation: string, sentAtMs: number): number {
    const differences = this.differencesMs.get(incarnation) ?? [];
    this.recordSmallest(incarnation, this.timestampMs() - sentAtMs);
    differences.push(this.timestampMs() - sentAtMs);
    if (differences.length > keptDifferences) {
      differences.shift();
    }
    this.differencesMs.set(incarnation, differences);
    const [first] = this.differencesMs.keys();
    if (this.differencesMs.size > maxProcesses && first !== undefined) {
      this.differencesMs.delete(first);
      this.smallest.delete(first);
    }
    return this.ageMs(incarnation, sentAtMs);
  }

  /**
   * Records how long an exchange of heartbeats with a process took.
   *
   * @param incarnation - the process
   * @param durationMs - from the sending of one to the receipt of its answer, on either side
   */
  recordRoundTrip(incarnation: string, durationMs: number): void {
    const roundTrips = [...(this.roundTripsMs.get(incarnation) ?? []), durationMs];
    this.roundTripsMs.set(incarnation, roundTrips.slice(-keptRoundTrips));
    const [first] = this.roundTripsMs.keys();
    if (this.roundTripsMs.size > maxProcesses && first !== undefined) {
      this.roundTripsMs.delete(first);
    }
  }

  /** @returns the shortest of the last round trips to a process, in milliseconds; undefined before the first */
  shortestRoundTripMs(incarnation: string): number | undefined {
    const roundTrips = this.roundTripsMs.get(incarnation);
    return roundTrips === undefined ? undefined : Math.min(...roundTrips);
  }

  /**
   * Returns an age that a message does not exceed, in milliseconds. The estimate leaves the shortest delay out, which a
   * link may have for long; no delay is longer than the round trip that it is a part of.
   */
  highestAgeMs(incarnation: string, sentAtMs: number): number {
    return this.ageMs(incarnation, sentAtMs) + (this.shortestRoundTripMs(incarnation) ?? 0);
  }

  /**
   * Estimates by how much longer a message was under way than the fastest heartbeat of its sender so far, in
   * milliseconds. Unlike the age, it doesn't forget that one while all messages are late.
   *
   * @returns undefined for a process that has sent fewer than two heartbeats, which tell nothing to compare with
   */
  delayMs(incarnation: string, sentAtMs: number): number | undefined {
    const smallest = this.smallest.get(incarnation);
    if (smallest === undefined || (this.differencesMs.get(incarnation)?.length ?? 0) < 2) {
      return undefined;
    }
    return Math.max(this.timestampMs() - sentAtMs - this.driftedMs(smallest), 0);
  }

  private recordSmallest(incarnation: string, differenceMs: number): void {
    const smallest = this.smallest.get(incarnation);
    if (smallest === undefined || differenceMs <= this.driftedMs(smallest)) {
      this.smallest.set(incarnation, { differenceMs, atMs: this.timestampMs() });
    }
  }

  /** What a difference may have become since it was observed, by the drift of the two clocks. */
  private driftedMs({ differenceMs, atMs }: SmallestDifference): number {
    return differenceMs + (this.timestampMs() - atMs) * maxClockDrift;
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
      : Math.max(0, this.timestampMs() - sentAtMs - Math.min(...differences));
  }
}
