/**
 * What one daemon knows for the report on service-level burn.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import type { Problem } from '../errors/problem.js';
import type { Caller } from '../types/inventory.js';
import type { JobAnswer, Submission } from '../types/jobs.js';
import type { Clock } from '../ports/clock.js';
import type { LogService } from '../ports/logService.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import { MinuteCounter, idealResponseMs, isCallersOwn } from './minuteCounter.js';
import { MinuteWriter } from './minuteWriter.js';
import type { MinuteSum } from '../types/report.js';

export interface ServiceLevelReportOptions {
  readonly vmId: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly logService: LogService;
  readonly configuration: ConfigurationStore;
  readonly metrics: Metrics;
}

export class ServiceLevelReport {
  private readonly counter = MinuteCounter.create();
  private readonly writer: MinuteWriter;

  private constructor(private readonly options: ServiceLevelReportOptions) {
    this.writer = MinuteWriter.create({ ...options, counter: this.counter });
  }

  static create(options: ServiceLevelReportOptions): ServiceLevelReport {
    return new ServiceLevelReport(options);
  }

  /**
   * Counts a job once it is answered.
   *
   * @param caller - who submitted it
   * @param submission - the job
   * @param answer - its answer
   */
  async follow(caller: Caller, submission: Submission, answer: Promise<JobAnswer>): Promise<void> {
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
    const idealMs = idealResponseMs(operations);
    const job = { callerClass: caller.class, answer: ended, responseMs, idealMs };
    this.counter.record(job, current.rules);
  }

  /**
   * Counts a refusal, unless it is the caller's own fault.
   *
   * @param callerId - who was refused
   * @param problem - why
   */
  refused(callerId: string, problem: Problem): void {
    const caller = this.options.configuration.current?.inventory.callerById(callerId);
    this.options.metrics.count('refusals', 1, [`kind:${problem.kind}`]);
    if (caller !== undefined && !isCallersOwn(problem.kind)) {
      this.counter.recordRefusal(caller.class, problem.kind);
    }
  }

  /** @returns the sums that the log does not have yet */
  unwritten(): MinuteSum[] {
    return this.writer.unwritten();
  }

  /** Writes what is left, and ends. */
  close(): Promise<void> {
    return this.writer.close();
  }

  /** Ends at once, as a killed process does. */
  kill(): Promise<void> {
    return this.writer.kill();
  }
}
