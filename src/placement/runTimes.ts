/**
 * Expected run times for each pair of place and operation: declared at first, then observed.
 *
 * A place is an endpoint, or a peer that runs passed tasks.
 */
import type { Operation } from '../types/inventory.js';

/** Least weight of a new observation against the ones before. */
const minObservationWeight = 0.25;
/** Rank of an untried place against a typical one. */
const untriedRankShare = 0.5;

/** Exponentially weighted mean; the first observation replaces the declared figure. */
interface ObservedRunTime {
  meanMs: number;
  observations: number;
}

export class RunTimes {
  private readonly byExecutor = new Map<string, Map<string, ObservedRunTime>>();
  private readonly byOperation = new Map<string, ObservedRunTime>();

  private constructor() {
    // Built by create.
  }

  static create(): RunTimes {
    return new RunTimes();
  }

  /**
   * Notes how long a task ran.
   *
   * @param placeId - where
   * @param operation - what ran
   * @param runTimeMs - how long, in milliseconds
   */
  observe(placeId: string, operation: Operation, runTimeMs: number): void {
    const { operationId } = operation;
    const ofPlace = this.byExecutor.get(placeId) ?? new Map<string, ObservedRunTime>();
    this.byExecutor.set(placeId, ofPlace);
    ofPlace.set(operationId, updateMean(ofPlace.get(operationId), runTimeMs));
    this.byOperation.set(operationId, updateMean(this.byOperation.get(operationId), runTimeMs));
  }

  /**
   * Tells the observed run time of an operation at one place.
   *
   * @returns milliseconds, or nothing before the first observation
   */
  observedMs(placeId: string, operation: Operation): number | undefined {
    return this.byExecutor.get(placeId)?.get(operation.operationId)?.meanMs;
  }

  /**
   * Tells what an operation takes at a place that has not run it yet.
   *
   * @returns mean of what was observed elsewhere, or else the declared figure, in milliseconds
   */
  typicalMs(operation: Operation): number {
    return this.byOperation.get(operation.operationId)?.meanMs ?? operation.declaredRunTimeMs;
  }

  /**
   * Tells the run time by which an endpoint that was not tried yet is ranked: hopeful, so that a
   * fast endpoint is found.
   *
   * @returns milliseconds
   */
  untriedRankMs(operation: Operation): number {
    return this.typicalMs(operation) * untriedRankShare;
  }

  /** Tells whether an operation was observed anywhere; declared figures are often far off. */
  isObserved(operation: Operation): boolean {
    return this.byOperation.has(operation.operationId);
  }

  /** @returns the observed or else the typical run time, in milliseconds */
  expectedMs(placeId: string, operation: Operation): number {
    return this.observedMs(placeId, operation) ?? this.typicalMs(operation);
  }

  /** Forgets a place. */
  removeExecutor(placeId: string): void {
    this.byExecutor.delete(placeId);
  }
}

const updateMean = (known: ObservedRunTime | undefined, runTimeMs: number): ObservedRunTime => {
  const observations = (known?.observations ?? 0) + 1;
  const weight = Math.max(1 / observations, minObservationWeight);
  const meanMs =
    known === undefined ? runTimeMs : known.meanMs + weight * (runTimeMs - known.meanMs);
  return { meanMs, observations };
};
