/**
 * Takes submissions: looks up the key, forwards to its owner, refuses, or starts the job.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { Caller } from '../inventory/types.js';
import type { JobRunner } from '../jobs/jobRunner.js';
import type { Submission } from '../jobs/types.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { JobStatus } from '../ports/callers.js';
import type { Clock } from '../ports/clock.js';
import type { ForwardedSubmission, SubmitOutcome } from '../ports/peers.js';
import type { Random } from '../ports/random.js';
import { checkSubmission } from './admission.js';
import { digestSubmission } from './digest.js';
import { parseSubmissionKey } from './submissionKey.js';
import type { Owner, SubmissionKey } from './submissionKey.js';
import type { SubmissionTable } from './submissionTable.js';
import type { SubmissionRecord } from './types.js';

export interface IntakeOptions {
  readonly owner: Owner;
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: ConfigurationStore;
  readonly runner: JobRunner;
  readonly table: SubmissionTable;
  readonly peers: PeerSet;
}

export class Intake {
  private stopping = false;

  private constructor(private readonly options: IntakeOptions) {}

  static create(options: IntakeOptions): Intake {
    return new Intake(options);
  }

  /** Refuses new submissions from now on. */
  freeze(): void {
    this.stopping = true;
  }

  get isFrozen(): boolean {
    return this.stopping;
  }

  async submit(
    caller: Caller,
    keyText: string,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome> {
    const key = parseSubmissionKey(keyText);
    if (key.isErr()) {
      return refused(key.error);
    }
    switch (key.value.form) {
      case 'owned':
        return this.submitOwned(caller, key.value, body);
      case 'plain':
        return refused(createProblem('unavailable', 'Plain keys are not served yet.'));
      default:
        return unreachable(key.value);
    }
  }

  /** Serves a submission that another daemon forwarded to this owner. */
  async submitForwarded(request: ForwardedSubmission): Promise<SubmitOutcome> {
    const caller = this.options.configuration.current?.inventory.callerById(request.callerId);
    const key = parseSubmissionKey(request.key);
    if (caller === undefined || key.isErr() || !this.owns(key.value)) {
      return refused(createProblem('outcome-unknown', 'This daemon does not own the key.'));
    }
    return this.submitHere(caller, key.value, Ok(request.submission));
  }

  async status(
    caller: Caller,
    keyText: string,
    waitMs: number,
  ): Promise<Result<JobStatus, Problem>> {
    const record = this.options.table.find(caller.callerId, keyText);
    if (record === undefined) {
      return Err(createProblem('not-found', 'No job is known under this key.'));
    }
    if (record.state === 'running') {
      await this.waitForAnswer(record, waitMs);
    }
    return Ok(toStatus(this.options.table.find(caller.callerId, keyText) ?? record));
  }

  async cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>> {
    const record = this.options.table.find(caller.callerId, keyText);
    if (record === undefined) {
      return Err(createProblem('not-found', 'No job is known under this key.'));
    }
    if (record.state === 'running') {
      record.job.cancel();
      await record.job.answer;
    }
    return Ok(toStatus(this.options.table.find(caller.callerId, keyText) ?? record));
  }

  /** Runs repeatable operations; they need no key and no memory. */
  async lookup(caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome> {
    if (body.isErr()) {
      return refused(body.error);
    }
    const problem = this.check(body.value) ?? this.checkRepeatable(body.value);
    if (problem !== undefined) {
      return refused(problem);
    }
    const job = this.startJob(caller, body.value);
    return { kind: 'answered', answer: await job.answer };
  }

  private submitOwned(
    caller: Caller,
    key: Extract<SubmissionKey, { form: 'owned' }>,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome> {
    if (this.owns(key)) {
      return this.submitHere(caller, key, body);
    }
    if (body.isErr()) {
      return Promise.resolve(refused({ ...body.error, runState: 'outcome-unknown' }));
    }
    const request = { callerId: caller.callerId, key: key.text, submission: body.value };
    return this.options.peers.forward(key.incarnation, request);
  }

  private async submitHere(
    caller: Caller,
    key: SubmissionKey,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome> {
    const { table } = this.options;
    const digest = body.isOk() ? digestSubmission(body.value) : '';
    const known = table.find(caller.callerId, key.text);
    if (known !== undefined) {
      return attach(known, digest);
    }
    const problem = body.isErr() ? body.error : this.check(body.value);
    if (problem !== undefined) {
      table.remember(caller.callerId, key.text, { state: 'refused', digest, problem });
      return refused(problem);
    }
    const job = this.startJob(caller, body.unwrap());
    table.remember(caller.callerId, key.text, { state: 'running', digest, job });
    const answer = await job.answer;
    table.remember(caller.callerId, key.text, { state: 'answered', digest, answer });
    return { kind: 'answered', answer };
  }

  private owns(key: SubmissionKey): boolean {
    return key.form === 'owned' && key.incarnation === this.options.owner.incarnation;
  }

  private check(submission: Submission): Problem | undefined {
    if (this.stopping) {
      return createProblem('stopping', 'This daemon takes no new submissions.');
    }
    const active = this.options.configuration.current;
    if (active === undefined) {
      return createProblem('overloaded', 'This daemon has no configuration yet.');
    }
    return checkSubmission(submission, active);
  }

  private checkRepeatable(submission: Submission): Problem | undefined {
    const operations = this.options.configuration.current?.inventory.operations;
    const index = submission.tasks.findIndex(
      (task) => operations?.get(task.operation)?.kind !== 'repeatable',
    );
    if (index < 0) {
      return undefined;
    }
    const detail = 'Only repeatable operations may be looked up.';
    return createProblem('invalid-request', detail, { where: `tasks[${index}].operation` });
  }

  private startJob(caller: Caller, submission: Submission) {
    const { clock, random, runner, configuration } = this.options;
    if (configuration.current === undefined) {
      throw new Error('A job was started without a configuration.');
    }
    return runner.start({
      jobId: random.id(),
      caller,
      submission,
      deadlineAtMs: clock.nowMs() + submission.deadlineMs,
      inventory: configuration.current.inventory,
    });
  }

  private async waitForAnswer(
    record: Extract<SubmissionRecord, { state: 'running' }>,
    waitMs: number,
  ): Promise<void> {
    const timer = new AbortController();
    await Promise.race([record.job.answer, this.options.clock.sleep(waitMs, timer.signal)]);
    timer.abort();
  }
}

const refused = (problem: Problem): SubmitOutcome => ({ kind: 'refused', problem });

/** Gives a resubmission what became of the first copy. */
const attach = async (record: SubmissionRecord, digest: string): Promise<SubmitOutcome> => {
  if (record.digest !== digest && record.digest !== '') {
    return refused(createProblem('key-conflict', 'The key was used with other tasks.'));
  }
  switch (record.state) {
    case 'running':
      return { kind: 'answered', answer: await record.job.answer };
    case 'answered':
      return { kind: 'answered', answer: record.answer };
    case 'refused':
      return refused(record.problem);
    default:
      return unreachable(record);
  }
};

const toStatus = (record: SubmissionRecord): JobStatus => {
  switch (record.state) {
    case 'running':
      return { state: 'running' };
    case 'answered':
      return { state: 'answered', answer: record.answer };
    case 'refused':
      return { state: 'refused', problem: record.problem };
    default:
      return unreachable(record);
  }
};
