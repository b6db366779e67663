/**
 * Keeps the long-running tasks of a daemon going. Each connection, peer and periodic duty is one async
 * function; an error in one of them is logged and counted, that one begins again after a pause that grows
 * with each failure in a row, and the others go on.
 */
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';

/** Pause after the first failure, in milliseconds; twice as long after each further one. */
const firstPauseMs = 100;
const maxPauseMs = 10_000;
/** A task that went on for this long before it failed begins again with the first pause. */
const steadyMs = 30_000;
/** Longest description of an error in a log line. */
const maxReasonLength = 500;

export interface TaskSupervisorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class TaskSupervisor {
  private readonly logger: Logger;

  private constructor(private readonly options: TaskSupervisorOptions) {
    this.logger = options.logger.forPart('process');
  }

  static create(options: TaskSupervisorOptions): TaskSupervisor {
    return new TaskSupervisor(options);
  }

  /**
   * Runs a task, again after each failure, until it ends by itself or its owner closes. Never rejects.
   *
   * @param name - its name in the log and the metric; the same for all tasks of one kind
   * @param run - runs the task
   * @param signal - aborted when the owner closes
   */
  async keep(name: string, run: () => Promise<unknown>, signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    let pauseMs = 0;
    while (!signal.aborted) {
      const startedAtMs = clock.nowMs();
      if (await this.attempt(name, run)) {
        return;
      }
      const wasSteady = clock.nowMs() - startedAtMs >= steadyMs;
      pauseMs = wasSteady || pauseMs === 0 ? firstPauseMs : Math.min(pauseMs * 2, maxPauseMs);
      await clock.sleep(pauseMs, signal);
    }
  }

  /**
   * Runs a task once; an error is logged and counted. Never rejects.
   *
   * @returns whether it ended without an error
   */
  async attempt(name: string, run: () => unknown): Promise<boolean> {
    try {
      await run();
      return true;
    } catch (error) {
      this.report(name, error);
      return false;
    }
  }

  /** Logs and counts an error that a task did not handle. */
  report(name: string, error: unknown): void {
    const reason = describeError(error).slice(0, maxReasonLength);
    this.options.metrics.count('task_failures', 1, [`task:${name}`]);
    this.logger.error(`Failed: ${name}.`, { reason });
  }
}

const describeError = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? String(error)) : String(error);
