/**
 * Forecast of the free cores of one worker: those free now and those that become free later. Tasks
 * reserve cores in it.
 */
import type { CapacityRelease } from '../types/fleet.js';

export class CapacityProfile {
  /** Cores that become free later, the earliest first. */
  private readonly upcoming: CapacityRelease[];

  private constructor(
    private freeCpuMillis: number,
    releases: CapacityRelease[],
  ) {
    this.upcoming = releases;
  }

  /**
   * @param freeCpuMillis - cores that are free now, in thousandths; below 0 if runs use more than the
   *   worker has, since its capacity has shrunk
   * @param releases - cores that become free later, in any order
   */
  static create(freeCpuMillis: number, releases: readonly CapacityRelease[]): CapacityProfile {
    let missingCpuMillis = Math.max(-freeCpuMillis, 0);
    const upcoming: CapacityRelease[] = [];
    for (const { inMs, cpuMillis } of [...releases].sort((a, b) => a.inMs - b.inMs)) {
      const absorbedCpuMillis = Math.min(missingCpuMillis, cpuMillis);
      missingCpuMillis -= absorbedCpuMillis;
      if (absorbedCpuMillis < cpuMillis) {
        upcoming.push({ inMs, cpuMillis: cpuMillis - absorbedCpuMillis });
      }
    }
    return new CapacityProfile(Math.max(freeCpuMillis, 0), upcoming);
  }

  /** @returns an independent copy */
  copy(): CapacityProfile {
    return new CapacityProfile(this.freeCpuMillis, [...this.upcoming]);
  }

  /** Cores that become free later, the earliest first. */
  get releases(): readonly CapacityRelease[] {
    return this.upcoming;
  }

  /** Cores that are free now, in thousandths. */
  get free(): number {
    return this.freeCpuMillis;
  }

  /**
   * Returns when a task could start.
   *
   * @param cpuMillis - cores that it needs, in thousandths
   * @returns time from now in milliseconds; infinite if there are never enough cores
   */
  startsInMs(cpuMillis: number): number {
    let free = this.freeCpuMillis;
    if (cpuMillis <= free) {
      return 0;
    }
    for (const release of this.upcoming) {
      free += release.cpuMillis;
      if (cpuMillis <= free) {
        return release.inMs;
      }
    }
    return Infinity;
  }

  /**
   * Reserves cores for a task from its earliest start until its expected end. Changes nothing if it
   * can never start.
   *
   * @param cpuMillis - cores that it needs, in thousandths
   * @param runMs - expected run time, in milliseconds
   */
  reserve(cpuMillis: number, runMs: number): void {
    const startInMs = this.startsInMs(cpuMillis);
    if (startInMs === Infinity) {
      return;
    }
    let surplusCpuMillis = -cpuMillis;
    if (startInMs === 0) {
      this.freeCpuMillis -= cpuMillis;
    } else {
      // Cores that are free or released until the start are held for the task; the surplus becomes
      // free again at its start.
      surplusCpuMillis += this.freeCpuMillis;
      this.freeCpuMillis = 0;
      while ((this.upcoming[0]?.inMs ?? Infinity) <= startInMs) {
        surplusCpuMillis += this.upcoming.shift()?.cpuMillis ?? 0;
      }
      this.insert({ inMs: startInMs, cpuMillis: surplusCpuMillis });
    }
    this.insert({ inMs: startInMs + runMs, cpuMillis });
  }

  private insert(release: CapacityRelease): void {
    if (release.cpuMillis <= 0) {
      return;
    }
    const next = this.upcoming.findIndex(({ inMs }) => inMs > release.inMs);
    this.upcoming.splice(next < 0 ? this.upcoming.length : next, 0, release);
  }
}
