/**
 * Learns how long the tasks of each route run, from what callers say of their jobs.
 *
 * Callers give a declared run time, which is often far off, and a deadline, which on many routes says
 * more. The prediction is linear in both. Daemons share their sums, so that each learns from the jobs
 * of all, and a route with few observations borrows from the others.
 */
import { addSums, emptySums, solveSums, sumsOf } from './lengthSums.js';
import type { LengthSums } from '../types/learned.js';

/** What a caller says of a job. */
export interface LengthHints {
  readonly declaredMs: number;
  readonly deadlineMs: number;
}

/** Weight that the observations before one keep. */
const memory = 0.995;
/** Without observations, the declared time is believed, with this weight. */
const declaredOnly: readonly number[] = [0, 1, 0];
const declaredWeight = 0.5;
/** Observations that a route borrows from all routes. */
const borrowedObservations = 6;
const msPerUnit = 1_000;
/** A prediction stays within this factor of the declared time. */
const maxCorrection = 8;
const minLengthMs = 1;
/** Errors of shorter tasks do not count more. */
const minScaleMs = 20;
/** Changes after which predictions are computed anew. */
const refitEvery = 4;
const allRoutes = '';

export class RunLengths {
  private readonly own = new Map<string, LengthSums>();
  private readonly heard = new Map<string, readonly LengthSums[]>();
  private readonly coefficients = new Map<string, readonly number[]>();
  private changes = 0;

  private constructor() {
    // Built by create.
  }

  static create(): RunLengths {
    return new RunLengths();
  }

  /**
   * Predicts the run time of a task on a typical worker, in milliseconds.
   *
   * @param routeId - where the job came in
   * @param hints - what its caller says
   */
  predictMs(routeId: string, hints: LengthHints): number {
    const coefficients = this.coefficientsOf(routeId);
    const units = featuresOf(hints).reduce(
      (sum, feature, index) => sum + feature * (coefficients[index] ?? 0),
      0,
    );
    const lowMs = Math.max(hints.declaredMs / maxCorrection, minLengthMs);
    const highMs = Math.max(hints.declaredMs * maxCorrection, lowMs);
    return Math.min(Math.max(units * msPerUnit, lowMs), highMs);
  }

  /**
   * Notes a task that was done.
   *
   * @param routeId - where its job came in
   * @param hints - what its caller said
   * @param lengthMs - its run time over the slowness of its worker, in milliseconds
   */
  observe(routeId: string, hints: LengthHints, lengthMs: number): void {
    const target = Math.max(lengthMs, minLengthMs) / msPerUnit;
    const scale = Math.max(this.predictMs(routeId, hints), minScaleMs) / msPerUnit;
    const observed = sumsOf(routeId, featuresOf(hints), target, scale);
    const before = this.own.get(routeId) ?? emptySums(routeId);
    this.own.set(routeId, addSums(observed, before, memory));
    this.noteChange();
  }

  /** @returns what this daemon has observed itself */
  share(): LengthSums[] {
    return [...this.own.values()];
  }

  /** Takes what another daemon has observed. */
  hear(incarnation: string, sums: readonly LengthSums[]): void {
    this.heard.set(incarnation, sums);
    this.noteChange();
  }

  /**
   * Takes what was saved in an earlier life of a daemon.
   *
   * @param savedBy - address of the daemon; what it says itself from now on adds to it
   */
  hearSaved(savedBy: string, sums: readonly LengthSums[]): void {
    this.hear(savedBy, sums.map(halve));
  }

  private noteChange(): void {
    this.changes += 1;
    if (this.changes >= refitEvery) {
      this.changes = 0;
      this.coefficients.clear();
    }
  }

  private coefficientsOf(routeId: string): readonly number[] {
    const known = this.coefficients.get(routeId);
    if (known !== undefined) {
      return known;
    }
    const everything = [...this.own.values(), ...[...this.heard.values()].flat()];
    const total = (of: readonly LengthSums[]): LengthSums =>
      of.reduce((sum, one) => addSums(sum, one), emptySums(allRoutes));
    const all = total(everything);
    const ofRoute = total(everything.filter((sums) => sums.routeId === routeId));
    const share = borrowedObservations / Math.max(all.observations, borrowedObservations);
    const fitted = solveSums(addSums(ofRoute, all, share), declaredOnly, declaredWeight);
    this.coefficients.set(routeId, fitted);
    return fitted;
  }
}

/** What was saved counts half: much of it is told by living daemons too. */
const halve = (sums: LengthSums): LengthSums => addSums(emptySums(sums.routeId), sums, 1 / 2);

const featuresOf = ({ declaredMs, deadlineMs }: LengthHints): readonly number[] => [
  1,
  declaredMs / msPerUnit,
  deadlineMs / msPerUnit,
];
