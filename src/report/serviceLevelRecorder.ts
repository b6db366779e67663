/**
 * Records the jobs and refusals of one daemon for the service-level report.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import type { Problem } from '../errors/problem.js';
import type { Caller } from '../types/inventory.js';
import type { JobAnswer, Submission } from '../types/jobs.js';
import type { Clock } from '../ports/clock.js';
import type { LogService } from '../ports/logService.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import { MinuteCounter, computeIdealResponseMs, isCausedByCaller } from './minuteCounter.js';
import { MinuteWriter } from './minuteWriter.js';
import type { MinuteSum } from '../types/report.js';

export interface ServiceLevelRecorderOptions {
  readonly vmId: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly logService: LogService;
  readonly configuration: ConfigurationStore;
  readonly metrics: Metrics;
}

export class ServiceLevelRecorder {
  private readonly counter = MinuteCounter.create();
  private readonly writer: MinuteWriter;

  private constructor(private readonly options: ServiceLevelRecorderOptions) {
    this.writer = MinuteWriter.create({ ...options, counter: this.counter });
  }

  static create(options: ServiceLevelRecorderOptions): ServiceLevelRecorder {
    return new ServiceLevelRecorder(options);
  }

  /**
   * Waits for the answer of a job and counts it, under the configuration in force at the time of the call.
   * The response time is measured from the call.
   *
   * @param caller - the caller that submitted the job
   * @param submission - the submission that became the job
   * @param answer - the answer to come
   */
  async recordWhenAnswered(
    caller: Caller,
    submission: Submission,
    answer: Promise<JobAnswer>,
  ): Promise<void> {
    const { clock, configuration, metrics } = this.options;
    const startedAtMs = clock.nowMs();
    const { current } = configuration;
    const operations = submission.tasks.flatMap(
      (task) => current?.inventory.operations.get(task.operation) ?? [],
    );
    const ended = await answer;
    if (current === undefined) {
      return;
    }
    const responseMs = clock.nowMs() - startedAtMs;
    const tags = [`class:${caller.class}`, `status:${ended.status}`];
    metrics.count('jobs', 1, tags);
    metrics.durationMs('response', responseMs, tags);
    const idealMs = computeIdealResponseMs(operations);
    const job = { callerClass: caller.class, answer: ended, responseMs, idealMs };
    this.counter.record(job, current.rules);
  }

  /**
   * Records a refused submission. It counts as a bad job unless the caller caused the refusal or is not in
   * the inventory; metrics count it in any case.
   *
   * @param callerId - id of the refused caller
   * @param problem - why the submission was refused
   */
  refused(callerId: string, problem: Problem): void {
    const caller = this.options.configuration.current?.inventory.findCallerById(callerId);
    this.options.metrics.count('refusals', 1, [`kind:${problem.kind}`]);
    if (caller !== undefined && !isCausedByCaller(problem.kind)) {
      this.counter.recordRefusal(caller.class, problem.kind);
    }
  }

  /** @returns the sums that are not appended to the log yet, the current minute last */
  unwrittenSums(): MinuteSum[] {
    return this.writer.unwrittenSums();
  }

  /** Stops, and appends what is left to the log. */
  close(): Promise<void> {
    return this.writer.close();
  }

  /** Stops at once without writing, as a killed process does. */
  kill(): Promise<void> {
    return this.writer.kill();
  }
}
