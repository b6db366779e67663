/**
 * Expected run times for each pair of executor and operation: declared at first, then observed.
 *
 * An executor is an endpoint, or a peer that runs offloaded tasks.
 */
import type { Operation } from '../types/inventory.js';

/** Smallest weight of a new observation in the mean. */
const minObservationWeight = 0.25;
/** Rank of an executor without observations, as a share of the typical run time. */
const untriedRankShare = 0.5;

/** Exponentially weighted mean; the first observation replaces the declared run time. */
interface ObservedRunTime {
  meanMs: number;
  observations: number;
}

export class RunTimes {
  /** By executor id, then by operation id. */
  private readonly byExecutor = new Map<string, Map<string, ObservedRunTime>>();
  /** Means over all executors, by operation id. */
  private readonly byOperation = new Map<string, ObservedRunTime>();

  private constructor() {
    // Built by create.
  }

  static create(): RunTimes {
    return new RunTimes();
  }

  /**
   * Records how long a task ran.
   *
   * @param executorId - id of the endpoint, or incarnation of the peer
   * @param operation - operation of the task
   * @param runTimeMs - its run time, in milliseconds
   */
  record(executorId: string, operation: Operation, runTimeMs: number): void {
    const { operationId } = operation;
    const executorRunTimes = this.byExecutor.get(executorId) ?? new Map<string, ObservedRunTime>();
    this.byExecutor.set(executorId, executorRunTimes);
    executorRunTimes.set(operationId, updateMean(executorRunTimes.get(operationId), runTimeMs));
    this.byOperation.set(operationId, updateMean(this.byOperation.get(operationId), runTimeMs));
  }

  /**
   * Returns the mean run time of an operation on one executor.
   *
   * @returns milliseconds, or undefined before the first observation
   */
  observedMs(executorId: string, operation: Operation): number | undefined {
    return this.byExecutor.get(executorId)?.get(operation.operationId)?.meanMs;
  }

  /**
   * Returns the run time to expect of an operation on an executor that has not run it yet.
   *
   * @returns mean over all executors, or else the declared run time, in milliseconds
   */
  typicalMs(operation: Operation): number {
    return this.byOperation.get(operation.operationId)?.meanMs ?? operation.declaredRunTimeMs;
  }

  /**
   * Returns the run time by which an endpoint without observations is ranked: below the typical
   * one, so that it is tried and a fast endpoint is found.
   *
   * @returns milliseconds
   */
  untriedRankMs(operation: Operation): number {
    return this.typicalMs(operation) * untriedRankShare;
  }

  /** Returns whether an operation was observed anywhere; declared run times are often far off. */
  isObserved(operation: Operation): boolean {
    return this.byOperation.has(operation.operationId);
  }

  /** Returns the observed or else the typical run time, in milliseconds. */
  expectedMs(executorId: string, operation: Operation): number {
    return this.observedMs(executorId, operation) ?? this.typicalMs(operation);
  }

  /** Removes the observations of an executor; the means over all executors keep them. */
  removeExecutor(executorId: string): void {
    this.byExecutor.delete(executorId);
  }
}

/** Weights the first observations equally, and later ones by the smallest weight. */
const updateMean = (known: ObservedRunTime | undefined, runTimeMs: number): ObservedRunTime => {
  const observations = (known?.observations ?? 0) + 1;
  const weight = Math.max(1 / observations, minObservationWeight);
  const meanMs =
    known === undefined ? runTimeMs : known.meanMs + weight * (runTimeMs - known.meanMs);
  return { meanMs, observations };
};
