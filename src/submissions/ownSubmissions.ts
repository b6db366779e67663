/**
 * The submissions that this daemon process owns: it alone starts them, each at most once.
 */
import type {
  ActiveConfiguration,
  ConfigurationStore,
} from '../configuration/configurationStore.js';
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { JobTraces } from '../explain/jobTraces.js';
import type { JobRunner } from '../jobs/jobRunner.js';
import type { JobAnswer, Submission } from '../types/jobs.js';
import type { Caller } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type {
  ForwardedStatus,
  ForwardedSubmission,
  Owner,
  StatusReply,
  SubmissionRef,
  SubmitOutcome,
} from '../ports/peers.js';
import type { Random } from '../ports/random.js';
import type { ServiceLevelReport } from '../report/serviceLevelReport.js';
import type { Admission } from './admission.js';
import {
  attach,
  digestBody,
  forgotten,
  known,
  neverStarted,
  ownerUnproven,
  refused,
  unknown,
} from './replies.js';
import type { SubmissionTable } from './submissionTable.js';
import type { RunningJob, SubmissionRecord } from './types.js';

export interface OwnSubmissionsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: ConfigurationStore;
  readonly runner: JobRunner;
  readonly table: SubmissionTable;
  readonly admission: Admission;
  readonly traces: JobTraces;
  readonly report: ServiceLevelReport;
}

export class OwnSubmissions {
  private readonly running = new Set<Promise<JobAnswer>>();
  private stopping = false;

  private constructor(private readonly options: OwnSubmissionsOptions) {}

  static create(options: OwnSubmissionsOptions): OwnSubmissions {
    return new OwnSubmissions(options);
  }

  /** @returns the owner of submissions that start here now */
  get owner(): Owner {
    return this.options.table.owner;
  }

  /** Refuses new submissions from now on; each refusal is remembered. */
  stopTaking(): void {
    this.stopping = true;
  }

  /** Waits until nothing runs, then freezes the table for good. */
  async finish(): Promise<void> {
    this.stopTaking();
    while (this.running.size > 0) {
      await Promise.all(this.running);
    }
    this.options.table.freeze();
  }

  /**
   * Starts a submission, or attaches to what became of an earlier copy. The lookup precedes every
   * check, and nothing runs between it and the record of the start.
   *
   * @param request - the submission, whose owner is this process
   * @param mayStart - whether the owner is proven; otherwise only what is known is answered
   */
  async submit(request: ForwardedSubmission, mayStart: boolean): Promise<SubmitOutcome> {
    const { owner, callerId, key, body } = request;
    const found = this.options.table.find(owner.epoch, callerId, key);
    switch (found.kind) {
      case 'known':
        this.options.traces.resubmitted(request);
        return attach(found.record, digestBody(body));
      case 'never-started':
        return refused(neverStarted());
      case 'forgotten':
        return refused(forgotten());
      case 'absent':
        return mayStart ? this.startOrRefuse(request) : refused(ownerUnproven());
      default:
        return unreachable(found);
    }
  }

  async status(request: ForwardedStatus): Promise<StatusReply> {
    const record = this.find(request);
    if (record === undefined) {
      return unknown(this.explainAbsence(request));
    }
    if (record.state === 'running' && request.waitMs > 0) {
      await this.waitForAnswer(record.job, request.waitMs);
    }
    return known(this.find(request) ?? record);
  }

  async cancel(request: SubmissionRef): Promise<StatusReply> {
    const record = this.find(request);
    if (record === undefined) {
      return unknown(this.explainAbsence(request));
    }
    if (record.state !== 'running') {
      return known(record);
    }
    record.job.cancel();
    const answer = await record.job.answer;
    return known({ state: 'answered', digest: record.digest, answer });
  }

  /**
   * Checks a submission against the state of this daemon and the configuration in force.
   *
   * @param callerId - who submits; a caller that is not known is left to the start
   * @param submission - the submission
   * @returns why it is refused, or nothing
   */
  check(callerId: string, submission: Submission): Problem | undefined {
    if (this.stopping) {
      return createProblem('stopping', 'This daemon takes no new submissions.');
    }
    const active = this.options.configuration.current;
    if (active === undefined) {
      return noConfiguration();
    }
    const caller = active.inventory.callerById(callerId);
    return caller === undefined
      ? undefined
      : this.options.admission.check(caller, submission, active);
  }

  /**
   * Starts a job that was checked.
   *
   * @param caller - who submitted it
   * @param submission - the job
   */
  startJob(caller: Caller, submission: Submission): RunningJob {
    const { clock, random, runner, admission } = this.options;
    const job = runner.start({
      jobId: random.id(),
      caller,
      submission,
      deadlineAtMs: clock.nowMs() + submission.deadlineMs,
      inventory: this.active().inventory,
    });
    admission.hold(submission, job.answer);
    void this.options.report.follow(caller, submission, job.answer);
    this.running.add(job.answer);
    void job.answer.finally(() => this.running.delete(job.answer));
    return job;
  }

  private async startOrRefuse(request: ForwardedSubmission): Promise<SubmitOutcome> {
    const { body, callerId } = request;
    const { traces } = this.options;
    const digest = digestBody(body);
    if (body.kind !== 'invalid') {
      traces.received(request, body.submission);
    }
    const problem = body.kind === 'invalid' ? body.problem : this.check(callerId, body.submission);
    if (problem !== undefined || body.kind === 'invalid') {
      const reason = problem ?? noConfiguration();
      this.remember(request, { state: 'refused', digest, problem: reason });
      traces.refused(request, reason);
      this.options.report.refused(callerId, reason);
      return refused(reason);
    }
    const caller = this.active().inventory.callerById(callerId);
    if (caller === undefined) {
      return refused(createProblem('outcome-unknown', 'The caller is not known to the owner.'));
    }
    const job = this.startJob(caller, body.submission);
    this.remember(request, { state: 'running', digest, job });
    traces.started(request, job.jobId);
    const answer = await job.answer;
    this.remember(request, { state: 'answered', digest, answer });
    traces.answered(request, answer);
    return { kind: 'answered', answer };
  }

  private find({ owner, callerId, key }: SubmissionRef): SubmissionRecord | undefined {
    const found = this.options.table.find(owner.epoch, callerId, key);
    return found.kind === 'known' ? found.record : undefined;
  }

  private remember({ owner, callerId, key }: SubmissionRef, record: SubmissionRecord): void {
    this.options.table.remember(owner.epoch, callerId, key, record);
  }

  private explainAbsence({ owner, callerId, key }: SubmissionRef): Problem {
    return this.options.table.find(owner.epoch, callerId, key).kind === 'forgotten'
      ? forgotten()
      : createProblem('not-found', 'No job is known under this key.');
  }

  private active(): ActiveConfiguration {
    const { current } = this.options.configuration;
    if (current === undefined) {
      throw new Error('A job was started without a configuration.');
    }
    return current;
  }

  private async waitForAnswer(job: RunningJob, waitMs: number): Promise<void> {
    const timer = new AbortController();
    await Promise.race([job.answer, this.options.clock.sleep(waitMs, timer.signal)]);
    timer.abort();
  }
}

const noConfiguration = (): Problem =>
  createProblem('overloaded', 'This daemon has no configuration yet.');
