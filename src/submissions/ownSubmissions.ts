/**
 * The submissions that this daemon process owns: no other process starts them, and this one starts
 * each at most once.
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
import type { ServiceLevelRecorder } from '../report/serviceLevelRecorder.js';
import type { AdmissionControl } from './admissionControl.js';
import {
  answerResubmission,
  digestBody,
  createDiscardedProblem,
  createKnownReply,
  createNeverStartedProblem,
  createOwnerUnprovenProblem,
  createRefusal,
  createUnknownReply,
} from './replies.js';
import type { SubmissionTable } from './submissionTable.js';
import type { RunningJob, SubmissionRecord } from './types.js';

export interface OwnSubmissionsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: ConfigurationStore;
  readonly runner: JobRunner;
  readonly submissionTable: SubmissionTable;
  readonly admission: AdmissionControl;
  readonly traces: JobTraces;
  readonly report: ServiceLevelRecorder;
}

export class OwnSubmissions {
  /** Answers of the jobs that run now. */
  private readonly running = new Set<Promise<JobAnswer>>();
  private stopping = false;

  private constructor(private readonly options: OwnSubmissionsOptions) {}

  static create(options: OwnSubmissionsOptions): OwnSubmissions {
    return new OwnSubmissions(options);
  }

  /** @returns the owner of submissions that start here now */
  get owner(): Owner {
    return this.options.submissionTable.owner;
  }

  /** Refuses new submissions from now on; each refusal is recorded in the table. */
  stopAccepting(): void {
    this.stopping = true;
  }

  /** Refuses new submissions, waits until no job runs, then freezes the table for good. */
  async drainAndFreeze(): Promise<void> {
    this.stopAccepting();
    while (this.running.size > 0) {
      await Promise.all(this.running);
    }
    this.options.submissionTable.freeze();
  }

  /**
   * Starts a submission, or answers it from the record of an earlier copy. The table is read before
   * any check, and no other code runs between the read and the record of the start, so that two
   * copies cannot both start.
   *
   * @param request - the submission, whose owner is this process
   * @param mayStart - whether the owner is proven; otherwise the submission is only answered from
   *   the table
   */
  async submit(request: ForwardedSubmission, mayStart: boolean): Promise<SubmitOutcome> {
    const { owner, callerId, key, body } = request;
    const found = this.options.submissionTable.lookUp(owner.epoch, callerId, key);
    switch (found.kind) {
      case 'known':
        this.options.traces.resubmitted(request);
        return answerResubmission(found.record, digestBody(body));
      case 'never-started':
        return createRefusal(createNeverStartedProblem());
      case 'discarded':
        return createRefusal(createDiscardedProblem());
      case 'startable':
        return mayStart ? this.startOrRefuse(request) : createRefusal(createOwnerUnprovenProblem());
      default:
        return unreachable(found);
    }
  }

  /** Returns the status of a job, after waiting up to `waitMs` for the answer of a running one. */
  async status(request: ForwardedStatus): Promise<StatusReply> {
    const record = this.findRecord(request);
    if (record === undefined) {
      return createUnknownReply(this.createAbsenceProblem(request));
    }
    if (record.state === 'running' && request.waitMs > 0) {
      await this.waitForAnswer(record.job, request.waitMs);
    }
    return createKnownReply(this.findRecord(request) ?? record);
  }

  /** Cancels a running job and waits for its answer; a finished job is reported as it is. */
  async cancel(request: SubmissionRef): Promise<StatusReply> {
    const record = this.findRecord(request);
    if (record === undefined) {
      return createUnknownReply(this.createAbsenceProblem(request));
    }
    if (record.state !== 'running') {
      return createKnownReply(record);
    }
    record.job.cancel();
    const answer = await record.job.answer;
    return createKnownReply({ state: 'answered', digest: record.digest, answer });
  }

  /**
   * Checks a submission against the state of this daemon and the active configuration.
   *
   * @param callerId - who submits; an unknown caller is not refused here, but at the start
   * @param submission - the submission
   * @returns why it is refused, or nothing
   */
  check(callerId: string, submission: Submission): Problem | undefined {
    if (this.stopping) {
      return createProblem('stopping', 'This daemon takes no new submissions.');
    }
    const active = this.options.configuration.current;
    if (active === undefined) {
      return createNoConfigurationProblem();
    }
    const caller = active.inventory.findCallerById(callerId);
    return caller === undefined
      ? undefined
      : this.options.admission.check(caller, submission, active);
  }

  /**
   * Starts a job.
   *
   * @param caller - who submitted it
   * @param submission - the submission, which has passed `check`
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
    void this.options.report.recordWhenAnswered(caller, submission, job.answer);
    this.running.add(job.answer);
    void job.answer.finally(() => this.running.delete(job.answer));
    return job;
  }

  /** Checks a new submission, then records its refusal, or its start and later its answer. */
  private async startOrRefuse(request: ForwardedSubmission): Promise<SubmitOutcome> {
    const { body, callerId } = request;
    const { traces } = this.options;
    const digest = digestBody(body);
    if (body.kind !== 'invalid') {
      traces.received(request, body.submission);
    }
    const problem = body.kind === 'invalid' ? body.problem : this.check(callerId, body.submission);
    if (problem !== undefined || body.kind === 'invalid') {
      const reason = problem ?? createNoConfigurationProblem();
      this.setRecord(request, { state: 'refused', digest, problem: reason });
      traces.refused(request, reason);
      this.options.report.refused(callerId, reason);
      return createRefusal(reason);
    }
    const caller = this.active().inventory.findCallerById(callerId);
    if (caller === undefined) {
      return createRefusal(
        createProblem('outcome-unknown', 'The caller is not known to the owner.'),
      );
    }
    const job = this.startJob(caller, body.submission);
    this.setRecord(request, { state: 'running', digest, job });
    traces.started(request, job.jobId);
    const answer = await job.answer;
    this.setRecord(request, { state: 'answered', digest, answer });
    traces.answered(request, answer);
    return { kind: 'answered', answer };
  }

  private findRecord({ owner, callerId, key }: SubmissionRef): SubmissionRecord | undefined {
    const found = this.options.submissionTable.lookUp(owner.epoch, callerId, key);
    return found.kind === 'known' ? found.record : undefined;
  }

  private setRecord({ owner, callerId, key }: SubmissionRef, record: SubmissionRecord): void {
    this.options.submissionTable.setRecord(owner.epoch, callerId, key, record);
  }

  /** Explains why the table has no record of a key. */
  private createAbsenceProblem({ owner, callerId, key }: SubmissionRef): Problem {
    return this.options.submissionTable.lookUp(owner.epoch, callerId, key).kind === 'discarded'
      ? createDiscardedProblem()
      : createProblem('not-found', 'No job is known under this key.');
  }

  /** Returns the active configuration, without which no job passes the checks. */
  private active(): ActiveConfiguration {
    const { current } = this.options.configuration;
    if (current === undefined) {
      throw new Error('A job was started without a configuration.');
    }
    return current;
  }

  /** Waits until a job is answered or the time is up, whichever comes first. */
  private async waitForAnswer(job: RunningJob, waitMs: number): Promise<void> {
    const timer = new AbortController();
    await Promise.race([job.answer, this.options.clock.sleep(waitMs, timer.signal)]);
    timer.abort();
  }
}

const createNoConfigurationProblem = (): Problem =>
  createProblem('overloaded', 'This daemon has no configuration yet.');
