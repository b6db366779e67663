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
import type { Caller } from '../types/inventory.js';
import type { Submission } from '../types/jobs.js';
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
import type { PlainKeys, PlainOwner } from './plainKeys.js';
import { ownerGone, refused, unknown } from './replies.js';
import { parseSubmissionKey } from './submissionKey.js';

export interface IntakeOptions {
  readonly incarnation: string;
  readonly configuration: ConfigurationStore;
  readonly own: OwnSubmissions;
  readonly inherited: InheritedTables;
  readonly router: OwnerRouter;
  readonly plainKeys: PlainKeys;
}

/** A question about a job, as it is put here and to another daemon. */
interface Question {
  here(ref: SubmissionRef): Promise<StatusReply>;
  elsewhere(ref: SubmissionRef): Promise<StatusReply | undefined>;
}

/** Where the owner of a key is, seen from this daemon. */
type OwnerPlace = 'here' | 'inherited' | 'elsewhere';

export class Intake {
  private constructor(private readonly options: IntakeOptions) {}

  static create(options: IntakeOptions): Intake {
    return new Intake(options);
  }

  async submit(
    { callerId }: Caller,
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
        return this.submitTo({ callerId, key: text, owner, body: toBody(body) });
      }
      case 'plain':
        return this.submitPlain(callerId, key.value.text, toBody(body));
      default:
        return unreachable(key.value);
    }
  }

  /** Serves a submission that another daemon forwarded; it is not forwarded again. */
  async submitForwarded(request: ForwardedSubmission): Promise<SubmitOutcome> {
    switch (this.locate(request)) {
      case 'here':
        return this.options.own.submit(request, this.isProvenOwner(request));
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
    return this.ask(caller, keyText, {
      here: (ref) => this.statusForwarded({ ...ref, waitMs }),
      elsewhere: (ref) => this.options.router.status({ ...ref, waitMs }),
    });
  }

  async cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>> {
    return this.ask(caller, keyText, {
      here: (ref) => this.cancelForwarded(ref),
      elsewhere: (ref) => this.options.router.cancel(ref),
    });
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

  private async submitPlain(
    callerId: string,
    key: string,
    body: SubmissionBody,
  ): Promise<SubmitOutcome> {
    const route = await this.options.plainKeys.route(callerId, key, body);
    switch (route.kind) {
      case 'owner':
        return this.submitTo(route.request);
      case 'refusal':
        return refused(route.problem);
      default:
        return unreachable(route);
    }
  }

  /** An owned key proves its owner; a plain key needs a claim that is the first. */
  private isProvenOwner(request: SubmissionRef): boolean {
    const key = parseSubmissionKey(request.key);
    if (key.isErr()) {
      return false;
    }
    switch (key.value.form) {
      case 'owned':
        return (
          key.value.owner.incarnation === request.owner.incarnation &&
          key.value.owner.epoch === request.owner.epoch
        );
      case 'plain':
        return this.options.plainKeys.isProvenFirst(request);
      default:
        return unreachable(key.value);
    }
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

  /** Asks the owner of a key; where no answer came, looks once more into what is here. */
  private async ask(
    caller: Caller,
    keyText: string,
    question: Question,
  ): Promise<Result<JobStatus, Problem>> {
    const found = this.findOwner(caller.callerId, keyText);
    if (found.kind === 'refusal') {
      return Ok({ state: 'refused', problem: found.problem });
    }
    if (found.kind === 'unclaimed') {
      return Err(createProblem('not-found', 'No job is known under this key.'));
    }
    const { ref } = found;
    if (this.locate(ref) !== 'elsewhere') {
      return toResult(await question.here(ref));
    }
    const reply = await question.elsewhere(ref);
    if (reply !== undefined) {
      return toResult(reply);
    }
    const { inherited } = this.options;
    return inherited.has(ref.owner.incarnation)
      ? toResult(inherited.status(ref))
      : Err(ownerGone());
  }

  private locate({ owner }: SubmissionRef): OwnerPlace {
    if (owner.incarnation === this.options.incarnation) {
      return 'here';
    }
    return this.options.inherited.isComplete(owner.incarnation) ? 'inherited' : 'elsewhere';
  }

  private findOwner(callerId: string, keyText: string): PlainOwner {
    const key = parseSubmissionKey(keyText);
    if (key.isErr()) {
      return { kind: 'refusal', problem: key.error };
    }
    switch (key.value.form) {
      case 'owned':
        return { kind: 'owner', ref: { callerId, key: key.value.text, owner: key.value.owner } };
      case 'plain':
        return this.options.plainKeys.find(callerId, key.value.text);
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
