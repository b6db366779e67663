/**
 * Predicts the run times of the tasks of each route by linear regression.
 *
 * Callers declare a run time, which is often far off, and a deadline, which on many routes predicts
 * the run time better. The prediction is linear in both. Daemons share their regression sums, so
 * that each learns from the jobs of all, and a route with few observations borrows from the others.
 */
import {
  addSums,
  areUsableSums,
  emptySums,
  solveLeastSquares,
  sumsOfObservation,
} from './leastSquares.js';
import type { LengthSums } from '../types/learned.js';

/** What a caller states about a job that helps to predict the run time of its tasks. */
export interface RunTimeHints {
  /** Declared run time of a task, in milliseconds. */
  readonly declaredMs: number;
  /** How long the caller waits for the job, in milliseconds. */
  readonly deadlineMs: number;
}

/** Factor by which each observation reduces the weight of the earlier ones of its route. */
const observationDecay = 0.995;
/** Coefficients without observations: the prediction is then the declared run time. */
const declaredPrior: readonly number[] = [0, 1, 0];
/** Weight of this prior in the regression. */
const declaredPriorWeight = 0.5;
/** Number of observations that each route borrows from all routes together. */
const borrowedObservations = 6;
/** Run times and deadlines enter the regression in seconds. */
const msPerSecond = 1_000;
/** A prediction differs from the declared run time by at most this factor. */
const maxCorrection = 8;
const minRunTimeMs = 1;
/** Observations are weighted by relative error; below this run time the weight grows no further. */
const minScaleMs = 20;
/** Least number of changed sums after which the coefficients are computed again. */
const minChangesPerRefit = 4;
/** Route id of sums over all routes; it is not sent to anyone. */
const allRoutes = '';

/** Whether a prediction is of a typical task, or of the one of a step that takes longest. */
export type RunTimeKind = 'typical' | 'longest';
/**
 * Ends the id under which sums of longest tasks are kept and sent; no route id contains it. Earlier versions take such an id
 * for a further route.
 */
const longestSuffix = '\u0000longest';

export class RunTimePredictor {
  /** Sums of this daemon's own observations, by route. */
  private readonly own = new Map<string, LengthSums>();
  /** Sums of other daemons by incarnation, and saved sums by the address of their daemon. */
  private readonly peerSums = new Map<string, readonly LengthSums[]>();
  /** Fitted coefficients by route, until the next refit. */
  private readonly coefficients = new Map<string, readonly number[]>();
  private changesSinceRefit = 0;
  /** Observations of all daemons at the last refit. */
  private fittedObservations = 0;

  private constructor() {
    // Built by create.
  }

  static create(): RunTimePredictor {
    return new RunTimePredictor();
  }

  /**
   * Predicts the run time of a task on a typical worker, in milliseconds.
   *
   * @param routeId - the route on which the job was submitted
   * @param hints - what its caller stated
   * @param kind - which task of a step
   */
  predictMs(routeId: string, hints: RunTimeHints, kind: RunTimeKind = 'typical'): number {
    const coefficients = this.coefficientsOf(sumsIdOf(routeId, kind));
    const predictedSeconds = featuresOf(hints).reduce(
      (sum, feature, index) => sum + feature * (coefficients[index] ?? 0),
      0,
    );
    const lowMs = Math.max(hints.declaredMs / maxCorrection, minRunTimeMs);
    const highMs = Math.max(hints.declaredMs * maxCorrection, lowMs);
    return Math.min(Math.max(predictedSeconds * msPerSecond, lowMs), highMs);
  }

  /**
   * Adds the run time of a finished task to the observations of its route, unless its hints are beyond what
   * the sums can hold.
   *
   * @param routeId - the route on which its job was submitted
   * @param hints - what its caller stated
   * @param runTimeMs - its run time over its worker's slowdown factor, in milliseconds
   * @param kind - which task of a step it was
   */
  observe(
    routeId: string,
    hints: RunTimeHints,
    runTimeMs: number,
    kind: RunTimeKind = 'typical',
  ): void {
    const sumsId = sumsIdOf(routeId, kind);
    const target = Math.max(runTimeMs, minRunTimeMs) / msPerSecond;
    const scale = Math.max(this.predictMs(routeId, hints, kind), minScaleMs) / msPerSecond;
    const observed = sumsOfObservation(sumsId, featuresOf(hints), target, scale);
    const earlier = this.own.get(sumsId) ?? emptySums(sumsId);
    const sums = addSums(observed, earlier, observationDecay);
    if (!areUsableSums(sums)) {
      return;
    }
    this.own.set(sumsId, sums);
    this.countChange();
  }

  /** @returns the sums of this daemon's own observations, to be sent to other daemons or saved */
  share(): LengthSums[] {
    return [...this.own.values()];
  }

  /** Records the usable sums of another daemon's own observations, in place of its earlier ones. */
  recordPeerSums(incarnation: string, sums: readonly LengthSums[]): void {
    this.peerSums.set(incarnation, sums.filter(areUsableSums));
    this.countChange();
  }

  /**
   * Restores sums that a process at some address saved earlier. The sums that a running process
   * there shares are recorded under its incarnation and add to these.
   *
   * @param savedBy - address of the daemon that saved them
   * @param sums - the saved sums
   */
  restoreSavedSums(savedBy: string, sums: readonly LengthSums[]): void {
    this.recordPeerSums(savedBy, sums.map(halve));
  }

  /**
   * Counts a change of the sums. The coefficients are computed again after several of them, the more
   * the less a single one can change.
   */
  private countChange(): void {
    this.changesSinceRefit += 1;
    if (
      this.changesSinceRefit >= Math.max(minChangesPerRefit, Math.sqrt(this.fittedObservations))
    ) {
      this.changesSinceRefit = 0;
      this.coefficients.clear();
    }
  }

  /** @returns the coefficients for the sums with an id, in the order of `featuresOf` */
  private coefficientsOf(sumsId: string): readonly number[] {
    const cached = this.coefficients.get(sumsId);
    if (cached !== undefined) {
      return cached;
    }
    const everySum = [...this.own.values(), ...[...this.peerSums.values()].flat()].filter(
      ({ routeId }) => kindOf(routeId) === kindOf(sumsId),
    );
    const total = (of: readonly LengthSums[]): LengthSums =>
      of.reduce((sum, one) => addSums(sum, one), emptySums(allRoutes));
    const all = total(everySum);
    const ofRoute = total(everySum.filter(({ routeId }) => routeId === sumsId));
    this.fittedObservations = all.observations;
    const borrowedShare = borrowedObservations / Math.max(all.observations, borrowedObservations);
    const fitted = solveLeastSquares(
      addSums(ofRoute, all, borrowedShare),
      declaredPrior,
      declaredPriorWeight,
    );
    this.coefficients.set(sumsId, fitted);
    return fitted;
  }
}

const sumsIdOf = (routeId: string, kind: RunTimeKind): string =>
  kind === 'longest' ? `${routeId}${longestSuffix}` : routeId;

const kindOf = (sumsId: string): RunTimeKind =>
  sumsId.endsWith(longestSuffix) ? 'longest' : 'typical';

/** Saved observations count half, since running daemons share many of them too. */
const halve = (sums: LengthSums): LengthSums => addSums(emptySums(sums.routeId), sums, 1 / 2);

/** @returns the features of the regression: a constant, the declared run time and the deadline */
const featuresOf = ({ declaredMs, deadlineMs }: RunTimeHints): readonly number[] => [
  1,
  declaredMs / msPerSecond,
  deadlineMs / msPerSecond,
];
