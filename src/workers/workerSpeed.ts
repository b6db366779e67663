/**
 * How fast a worker is, learned from its run times over the declared ones.
 */

/** Share of a new observation in the mean. */
const observationWeight = 0.15;
/** A worker of which nothing is known is taken for a little slower than a typical one. */
const unknownSlowness = 1.1;
/** Weight of what an earlier dispatcher found, in observations. */
const rememberedObservations = 4;
/** Observations beyond this range say more of the declared time than of the worker. */
const minRatio = 0.2;
const maxRatio = 12;
/** Slowness above this is a fault that passes, and is forgotten with time. */
const lastingSlowness = 2.2;
/** Time after which a third of the passing slowness is left, in milliseconds. */
const forgetMs = 2_500;

export class WorkerSpeed {
  private observations = 0;
  private observedAtMs = 0;

  private constructor(private mean: number) {}

  /**
   * @param remembered - what an earlier dispatcher found
   */
  static create(remembered?: number): WorkerSpeed {
    const speed = new WorkerSpeed(remembered ?? unknownSlowness);
    speed.observations = remembered === undefined ? 0 : rememberedObservations;
    return speed;
  }

  /**
   * Notes a run that was done.
   *
   * @param runTimeMs - how long it took, in milliseconds
   * @param declaredMs - how long it was said to take, in milliseconds
   * @param nowMs - monotonic time
   */
  observe(runTimeMs: number, declaredMs: number, nowMs: number): void {
    const ratio = Math.min(Math.max(runTimeMs / declaredMs, minRatio), maxRatio);
    const before = this.slowness(nowMs);
    this.observations += 1;
    const weight = Math.max(1 / (this.observations + 1), observationWeight);
    this.mean = before + weight * (ratio - before);
    this.observedAtMs = nowMs;
  }

  /**
   * Tells the expected run time over the declared one.
   *
   * @param nowMs - monotonic time
   */
  slowness(nowMs: number): number {
    if (this.mean <= lastingSlowness) {
      return this.mean;
    }
    const left = Math.exp(-(nowMs - this.observedAtMs) / forgetMs);
    return lastingSlowness + (this.mean - lastingSlowness) * left;
  }
}
