/**
 * Estimates the slowdown factor of a worker: its run times over the estimates for a typical worker.
 */

/** Weight of a new observation in the exponentially weighted mean, once there are enough. */
const observationWeight = 0.15;
/** A worker without observations is assumed to be a little slower than a typical one. */
const defaultSlowness = 1.1;
/** Weight of the factor that an earlier dispatcher measured, in observations. */
const priorObservations = 4;
/** Ratios are clamped to this range; beyond it, they say more about the estimate than the worker. */
const minRatio = 0.2;
const maxRatio = 12;
/** A factor above this is caused by a passing fault; the excess decays with time. */
const maxPersistentSlowness = 2.2;
/** Time constant of that decay: after it, about a third (1/e) of the excess is left. */
const decayTimeMs = 2_500;
/**
 * Time after the last measurement from which on a factor above the default fades. A worker that gets no run for being
 * slow would never be measured again.
 */
const retentionMs = 5_000;
/** Time constant of that fading. */
const fadingTimeMs = 5_000;

export class WorkerSpeed {
  private observations = 0;

  private constructor(
    private mean: number,
    private observedAtMs: number,
  ) {}

  /**
   * @param remembered - slowdown factor that an earlier dispatcher measured, or that another writer stored
   * @param nowMs - monotonic time
   */
  static create(remembered: number | undefined, nowMs: number): WorkerSpeed {
    const speed = new WorkerSpeed(clampRatio(remembered ?? defaultSlowness), nowMs);
    speed.observations = remembered === undefined ? 0 : priorObservations;
    return speed;
  }

  /**
   * Adds the run time of a successful run to the mean.
   *
   * @param runTimeMs - its run time, in milliseconds
   * @param estimatedMs - its run time as estimated for a typical worker, in milliseconds
   * @param nowMs - monotonic time
   */
  observe(runTimeMs: number, estimatedMs: number, nowMs: number): void {
    const ratio = clampRatio(runTimeMs / estimatedMs);
    const previous = this.slowness(nowMs);
    this.observations += 1;
    const weight = Math.max(1 / (this.observations + 1), observationWeight);
    this.mean = previous + weight * (ratio - previous);
    this.observedAtMs = nowMs;
  }

  /**
   * Returns the expected run time over the one estimated for a typical worker.
   *
   * @param nowMs - monotonic time
   */
  slowness(nowMs: number): number {
    if (this.mean <= defaultSlowness) {
      return this.mean;
    }
    const sinceMs = nowMs - this.observedAtMs;
    const persistent = Math.min(this.mean, maxPersistentSlowness);
    const fadingMs = Math.max(sinceMs - retentionMs, 0);
    const remembered = (persistent - defaultSlowness) * Math.exp(-fadingMs / fadingTimeMs);
    const passing = (this.mean - persistent) * Math.exp(-sinceMs / decayTimeMs);
    return defaultSlowness + remembered + passing;
  }
}

const clampRatio = (ratio: number): number => Math.min(Math.max(ratio, minRatio), maxRatio);
