/**
 * Routes submissions, status requests and cancellations to the daemon process that owns their key:
 * this one, a peer, or a successor that has adopted the table of a stopped daemon.
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
import type { AdoptedTables } from './adoptedTables.js';
import type { OwnerClient } from './ownerClient.js';
import { OwnerLocator } from './ownerLocator.js';
import type { OwnSubmissions } from './ownSubmissions.js';
import type { PlainKeyResolver } from './plainKeyResolver.js';
import { createOwnerUnreachableProblem, createRefusal, createUnknownReply } from './replies.js';
import { parseSubmissionKey } from './submissionKey.js';

export interface SubmissionRouterOptions {
  readonly incarnation: string;
  readonly configuration: ConfigurationStore;
  readonly own: OwnSubmissions;
  readonly adoptedTables: AdoptedTables;
  readonly ownerClient: OwnerClient;
  readonly plainKeys: PlainKeyResolver;
}

/** A request about a job, as it is handled by this daemon and as it is sent to another one. */
interface OwnerRequest {
  handleLocally(ref: SubmissionRef): Promise<StatusReply>;
  /** Resolves to nothing when neither the owner nor a successor replied. */
  sendToOwner(ref: SubmissionRef): Promise<StatusReply | undefined>;
}

export class SubmissionRouter {
  private readonly owners: OwnerLocator;

  private constructor(private readonly options: SubmissionRouterOptions) {
    this.owners = OwnerLocator.create(options);
  }

  static create(options: SubmissionRouterOptions): SubmissionRouter {
    return new SubmissionRouter(options);
  }

  /** Routes a submission of a caller; its key names the owner, or a claim on the log decides it. */
  async submit(
    { callerId }: Caller,
    keyText: string,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome> {
    const key = parseSubmissionKey(keyText);
    if (key.isErr()) {
      return createRefusal(key.error);
    }
    switch (key.value.form) {
      case 'owned': {
        const { text, owner } = key.value;
        return this.submitToOwner({ callerId, key: text, owner, body: toSubmissionBody(body) });
      }
      case 'plain':
        return this.submitWithPlainKey(callerId, key.value.text, toSubmissionBody(body));
      default:
        return unreachable(key.value);
    }
  }

  /** Handles a submission without forwarding it, as the owner or from an adopted table. */
  async submitLocally(request: ForwardedSubmission): Promise<SubmitOutcome> {
    switch (this.owners.locate(request)) {
      case 'local':
        return this.options.own.submit(request, this.owners.isProvenOwner(request));
      case 'adopted':
        return this.options.adoptedTables.answerSubmission(request);
      case 'remote':
        return createRefusal(createNotOwnedProblem());
    }
  }

  /** Handles a status request without forwarding it. */
  async statusLocally(request: ForwardedStatus): Promise<StatusReply> {
    return this.answerLocally(request, () => this.options.own.status(request));
  }

  /**
   * Handles a cancellation without forwarding it. Jobs of adopted tables have ended, so only their
   * status is returned.
   */
  async cancelLocally(request: SubmissionRef): Promise<StatusReply> {
    return this.answerLocally(request, () => this.options.own.cancel(request));
  }

  /** Returns the status of a caller's job, after waiting up to `waitMs` for its answer. */
  async status(
    caller: Caller,
    keyText: string,
    waitMs: number,
  ): Promise<Result<JobStatus, Problem>> {
    return this.requestOwner(caller, keyText, {
      handleLocally: (ref) => this.statusLocally({ ...ref, waitMs }),
      sendToOwner: (ref) => this.options.ownerClient.status({ ...ref, waitMs }),
    });
  }

  /** Cancels a caller's job. */
  async cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>> {
    return this.requestOwner(caller, keyText, {
      handleLocally: (ref) => this.cancelLocally(ref),
      sendToOwner: (ref) => this.options.ownerClient.cancel(ref),
    });
  }

  /** Runs repeatable operations without a key; no record of them is kept. */
  async lookup(caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome> {
    if (body.isErr()) {
      return createRefusal(body.error);
    }
    const problem =
      this.options.own.check(caller.callerId, body.value) ?? this.checkRepeatable(body.value);
    if (problem !== undefined) {
      return createRefusal(problem);
    }
    const job = this.options.own.startJob(caller, body.value);
    return { kind: 'answered', answer: await job.answer };
  }

  /** Answers as the owner or from an adopted table; other daemons' jobs are unknown here. */
  private async answerLocally(
    ref: SubmissionRef,
    answerAsOwner: () => Promise<StatusReply>,
  ): Promise<StatusReply> {
    switch (this.owners.locate(ref)) {
      case 'local':
        return answerAsOwner();
      case 'adopted':
        return this.options.adoptedTables.status(ref);
      case 'remote':
        return createUnknownReply(createNotOwnedProblem());
    }
  }

  /** Lets the log decide the key, then sends the submission to the owner of the first claim. */
  private async submitWithPlainKey(
    callerId: string,
    key: string,
    body: SubmissionBody,
  ): Promise<SubmitOutcome> {
    const route = await this.options.plainKeys.route(callerId, key, body);
    switch (route.kind) {
      case 'owner':
        return this.submitToOwner(route.request);
      case 'refusal':
        return createRefusal(route.problem);
      default:
        return unreachable(route);
    }
  }

  /**
   * Sends a submission to its owner. Without a reply it is answered from the owner's table, if even a
   * part of the table has arrived here by then.
   */
  private async submitToOwner(request: ForwardedSubmission): Promise<SubmitOutcome> {
    if (this.owners.locate(request) !== 'remote') {
      return this.submitLocally(request);
    }
    const outcome = await this.options.ownerClient.submit(request);
    if (outcome !== undefined) {
      return outcome;
    }
    const { adoptedTables } = this.options;
    return adoptedTables.hasPart(request.owner.incarnation)
      ? adoptedTables.answerSubmission(request)
      : createRefusal(createOwnerUnreachableProblem());
  }

  /**
   * Sends a request to the owner of a key. Without a reply it is answered from the owner's table, if
   * even a part of the table has arrived here by then.
   */
  private async requestOwner(
    caller: Caller,
    keyText: string,
    request: OwnerRequest,
  ): Promise<Result<JobStatus, Problem>> {
    const found = this.owners.find(caller.callerId, keyText);
    if (found.kind === 'refusal') {
      return Ok({ state: 'refused', problem: found.problem });
    }
    if (found.kind === 'unclaimed') {
      return Err(createProblem('not-found', 'No job is known under this key.'));
    }
    const { ref } = found;
    if (this.owners.locate(ref) !== 'remote') {
      return toJobStatusResult(await request.handleLocally(ref));
    }
    const reply = await request.sendToOwner(ref);
    if (reply !== undefined) {
      return toJobStatusResult(reply);
    }
    const { adoptedTables } = this.options;
    return adoptedTables.hasPart(ref.owner.incarnation)
      ? toJobStatusResult(adoptedTables.status(ref))
      : Err(createOwnerUnreachableProblem());
  }

  /** Refuses a submission with an operation that is not repeatable. */
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

const toSubmissionBody = (body: Result<Submission, Problem>): SubmissionBody =>
  body.isOk()
    ? { kind: 'valid', submission: body.value }
    : { kind: 'invalid', problem: body.error };

const toJobStatusResult = (reply: StatusReply): Result<JobStatus, Problem> => {
  switch (reply.kind) {
    case 'known':
      return Ok(reply.status);
    case 'unknown':
      return Err(reply.problem);
    default:
      return unreachable(reply);
  }
};

const createNotOwnedProblem = (): Problem =>
  createProblem('outcome-unknown', 'This daemon does not own the key.');
