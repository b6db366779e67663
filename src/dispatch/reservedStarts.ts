/**
 * The worker that is reserved for the first blocked task of each service, with the log lines and metrics that show it.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import { findReservation } from '../scheduling/startReservation.js';
import type { StartReservation, WorkerOutlook } from '../scheduling/startReservation.js';
import type { BatchedTask } from './openBatch.js';
import { taskNameOf } from './taskNames.js';

export interface ReservedStartsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A task and the worker that is reserved for it. */
interface ReservedStart extends StartReservation {
  readonly task: BatchedTask;
}

export class ReservedStarts {
  /** The reservation that the last pass over the tasks of each service made. */
  private readonly lastOf = new Map<string, ReservedStart>();

  private constructor(private readonly options: ReservedStartsOptions) {}

  static create(options: ReservedStartsOptions): ReservedStarts {
    return new ReservedStarts(options);
  }

  /**
   * Reserves a worker for the first blocked task of a pass.
   *
   * @param task - the task
   * @param workers - the workers that may run it
   * @returns the reservation; undefined if no worker is forecast to become free for it
   */
  reserve(task: BatchedTask, workers: readonly WorkerOutlook[]): StartReservation | undefined {
    const { clock, logger, metrics } = this.options;
    const nowMs = clock.nowMs();
    const { serviceId, needs } = task.batch.content;
    const last = this.lastOf.get(serviceId);
    const current = last?.task === task ? last.workerId : undefined;
    const found = findReservation(needs.resources.cpuMillis, workers, nowMs, current);
    if (found === undefined) {
      this.release(serviceId);
      return undefined;
    }
    this.lastOf.set(serviceId, { ...found, task });
    if (found.workerId !== current) {
      const startsInMs = Math.round(found.startAtMs - nowMs);
      const taskName = taskNameOf(task);
      const { workerId } = found;
      logger.info('A worker is reserved for a task.', {
        ...{ taskName, workerId, leftMs: startsInMs },
      });
      metrics.count('reservations', 1);
      metrics.durationMs('reserved_start_in', startsInMs);
    }
    return found;
  }

  /** Ends the reservation of a service whose pass has made none. */
  release(serviceId: string): void {
    this.lastOf.delete(serviceId);
  }

  /** Records the start of a task behind a reservation. */
  recordStart(reservation: StartReservation, workerId: string): void {
    if (reservation.workerId === workerId) {
      this.options.metrics.count('backfills', 1);
    }
  }
}
