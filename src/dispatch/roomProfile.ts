/**
 * The room of one worker as it is expected to become free.
 */
import type { Release } from '../types/fleet.js';

export class RoomProfile {
  /** The releases, the first first. */
  private readonly pending: Release[];

  private constructor(
    private freeCpuMillis: number,
    releases: Release[],
  ) {
    this.pending = releases;
  }

  /**
   * @param freeCpuMillis - cores that are free now, in thousandths
   * @param releases - cores that become free later
   */
  static create(freeCpuMillis: number, releases: readonly Release[]): RoomProfile {
    return new RoomProfile(
      freeCpuMillis,
      [...releases].sort((a, b) => a.inMs - b.inMs),
    );
  }

  /** @returns a profile of its own with the same room */
  copy(): RoomProfile {
    return new RoomProfile(this.freeCpuMillis, [...this.pending]);
  }

  /** @returns the releases, the first first */
  get releases(): readonly Release[] {
    return this.pending;
  }

  get free(): number {
    return this.freeCpuMillis;
  }

  /**
   * Tells when a task could start.
   *
   * @param cpuMillis - thousandths of a core that it takes
   * @returns time from now in milliseconds; infinite if the room is never enough
   */
  startsInMs(cpuMillis: number): number {
    let free = this.freeCpuMillis;
    if (cpuMillis <= free) {
      return 0;
    }
    for (const release of this.pending) {
      free += release.cpuMillis;
      if (cpuMillis <= free) {
        return release.inMs;
      }
    }
    return Infinity;
  }

  /**
   * Takes room for a task from the moment at which it could start.
   *
   * @param cpuMillis - thousandths of a core
   * @param runMs - expected run time, in milliseconds
   */
  take(cpuMillis: number, runMs: number): void {
    const startInMs = this.startsInMs(cpuMillis);
    if (startInMs === Infinity) {
      return;
    }
    let left = -cpuMillis;
    if (startInMs === 0) {
      this.freeCpuMillis -= cpuMillis;
    } else {
      // What is free or released until the start goes to the task; the rest is free from then on.
      left += this.freeCpuMillis;
      this.freeCpuMillis = 0;
      while ((this.pending[0]?.inMs ?? Infinity) <= startInMs) {
        left += this.pending.shift()?.cpuMillis ?? 0;
      }
      this.insert({ inMs: startInMs, cpuMillis: left });
    }
    this.insert({ inMs: startInMs + runMs, cpuMillis });
  }

  private insert(release: Release): void {
    if (release.cpuMillis <= 0) {
      return;
    }
    const next = this.pending.findIndex(({ inMs }) => inMs > release.inMs);
    this.pending.splice(next < 0 ? this.pending.length : next, 0, release);
  }
}
