/**
 * Takes submissions and questions about them, and brings each to the daemon process that owns its
 * key: this one, a peer, or the heir of a daemon that has stopped.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { Caller } from '../inventory/types.js';
import type { Submission } from '../jobs/types.js';
import type {
  ForwardedStatus,
  ForwardedSubmission,
  JobStatus,
  StatusReply,
  SubmissionBody,
  SubmissionRef,
  SubmitOutcome,
} from '../ports/peers.js';
import type { InheritedTables } from './inheritedTables.js';
import type { OwnerRouter } from './ownerRouter.js';
import type { OwnSubmissions } from './ownSubmissions.js';
import { ownerGone, refused, unknown } from './replies.js';
import { parseSubmissionKey } from './submissionKey.js';

export interface IntakeOptions {
  readonly incarnation: string;
  readonly configuration: ConfigurationStore;
  readonly own: OwnSubmissions;
  readonly inherited: InheritedTables;
  readonly router: OwnerRouter;
}

/** Where the owner of a key is, seen from this daemon. */
type OwnerPlace = 'here' | 'inherited' | 'elsewhere';

export class Intake {
  private constructor(private readonly options: IntakeOptions) {}

  static create(options: IntakeOptions): Intake {
    return new Intake(options);
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
      case 'owned': {
        const { text, owner } = key.value;
        return this.submitTo({
          callerId: caller.callerId,
          key: text,
          owner,
          body: toBody(body),
        });
      }
      case 'plain':
        return refused(createProblem('unavailable', 'Plain keys are not served yet.'));
      default:
        return unreachable(key.value);
    }
  }

  /** Serves a submission that another daemon forwarded; it is not forwarded again. */
  async submitForwarded(request: ForwardedSubmission): Promise<SubmitOutcome> {
    switch (this.locate(request)) {
      case 'here':
        return this.options.own.submit(request);
      case 'inherited':
        return this.options.inherited.submit(request);
      case 'elsewhere':
        return refused(notOwned());
    }
  }

  async statusForwarded(request: ForwardedStatus): Promise<StatusReply> {
    switch (this.locate(request)) {
      case 'here':
        return this.options.own.status(request);
      case 'inherited':
        return this.options.inherited.status(request);
      case 'elsewhere':
        return unknown(notOwned());
    }
  }

  async cancelForwarded(request: SubmissionRef): Promise<StatusReply> {
    switch (this.locate(request)) {
      case 'here':
        return this.options.own.cancel(request);
      case 'inherited':
        return this.options.inherited.status(request);
      case 'elsewhere':
        return unknown(notOwned());
    }
  }

  async status(
    caller: Caller,
    keyText: string,
    waitMs: number,
  ): Promise<Result<JobStatus, Problem>> {
    const ref = this.resolve(caller, keyText);
    if (ref.isErr()) {
      return ref;
    }
    const request = { ...ref.value, waitMs };
    const reply =
      this.locate(request) === 'elsewhere'
        ? ((await this.options.router.status(request)) ?? this.askAgain(request))
        : await this.statusForwarded(request);
    return toResult(reply);
  }

  async cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>> {
    const ref = this.resolve(caller, keyText);
    if (ref.isErr()) {
      return ref;
    }
    const reply =
      this.locate(ref.value) === 'elsewhere'
        ? ((await this.options.router.cancel(ref.value)) ?? this.askAgain(ref.value))
        : await this.cancelForwarded(ref.value);
    return toResult(reply);
  }

  /** Runs repeatable operations; they need no key and no memory. */
  async lookup(caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome> {
    if (body.isErr()) {
      return refused(body.error);
    }
    const problem =
      this.options.own.check(caller.callerId, body.value) ?? this.checkRepeatable(body.value);
    if (problem !== undefined) {
      return refused(problem);
    }
    const job = this.options.own.startJob(caller, body.value);
    return { kind: 'answered', answer: await job.answer };
  }

  /** Brings a submission to its owner; where no answer came, looks once more into what is here. */
  private async submitTo(request: ForwardedSubmission): Promise<SubmitOutcome> {
    if (this.locate(request) !== 'elsewhere') {
      return this.submitForwarded(request);
    }
    const outcome = await this.options.router.submit(request);
    if (outcome !== undefined) {
      return outcome;
    }
    const { inherited } = this.options;
    return inherited.has(request.owner.incarnation)
      ? inherited.submit(request)
      : refused(ownerGone());
  }

  private askAgain(request: SubmissionRef): StatusReply {
    const { inherited } = this.options;
    return inherited.has(request.owner.incarnation)
      ? inherited.status(request)
      : unknown(ownerGone());
  }

  private locate({ owner }: SubmissionRef): OwnerPlace {
    if (owner.incarnation === this.options.incarnation) {
      return 'here';
    }
    return this.options.inherited.isComplete(owner.incarnation) ? 'inherited' : 'elsewhere';
  }

  private resolve(caller: Caller, keyText: string): Result<SubmissionRef, Problem> {
    const key = parseSubmissionKey(keyText);
    if (key.isErr()) {
      return key;
    }
    switch (key.value.form) {
      case 'owned':
        return Ok({ callerId: caller.callerId, key: key.value.text, owner: key.value.owner });
      case 'plain':
        return Err(createProblem('not-found', 'No job is known under this key.'));
      default:
        return unreachable(key.value);
    }
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
}

const toBody = (body: Result<Submission, Problem>): SubmissionBody =>
  body.isOk()
    ? { kind: 'valid', submission: body.value }
    : { kind: 'invalid', problem: body.error };

const toResult = (reply: StatusReply): Result<JobStatus, Problem> => {
  switch (reply.kind) {
    case 'known':
      return Ok(reply.status);
    case 'unknown':
      return Err(reply.problem);
    default:
      return unreachable(reply);
  }
};

const notOwned = (): Problem =>
  createProblem('outcome-unknown', 'This daemon does not own the key.');
