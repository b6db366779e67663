/**
 * A simple dispatcher for comparison: it sends every task at once to an endpoint that it chooses by a
 * fixed policy, without a queue or run times, and retries until the deadline wherever a retry is safe.
 */
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { createProblem } from '../../src/errors/problem.js';
import type { Problem } from '../../src/errors/problem.js';
import { unreachable } from '../../src/errors/unreachable.js';
import { canRunOperation } from '../../src/inventory/inventoryIndex.js';
import type { InventoryIndex, PlacedEndpoint } from '../../src/inventory/inventoryIndex.js';
import type { Caller, Operation } from '../../src/types/inventory.js';
import type { Submission, TaskOutcome } from '../../src/types/jobs.js';
import type { CallerService, JobStatus } from '../../src/ports/callers.js';
import type { Clock } from '../../src/ports/clock.js';
import type { EndpointPort, EndpointReply } from '../../src/ports/endpoints.js';
import type { SubmitOutcome } from '../../src/ports/peers.js';
import type { Random } from '../../src/ports/random.js';

/** Pause before the next attempt of a task, in milliseconds. */
const retryPauseMs = 20;

/** How a baseline chooses among the endpoints that fit an operation. */
export type BaselinePolicy =
  | { readonly kind: 'random' }
  /** One of the endpoints with the fewest tasks in flight from this dispatcher. */
  | { readonly kind: 'least-connections' };

export interface BaselineDispatcherOptions {
  readonly policy: BaselinePolicy;
  readonly clock: Clock;
  readonly random: Random;
  readonly inventory: InventoryIndex;
  readonly endpoints: EndpointPort;
  /** Returns whether the network lets this dispatcher reach an endpoint now. */
  readonly canReach: (placed: PlacedEndpoint) => boolean;
}

/** One task with its deadline. */
interface BaselineTask {
  readonly taskId: string;
  readonly operation: Operation;
  readonly input: unknown;
  readonly deadlineAtMs: number;
}

export class BaselineDispatcher implements CallerService {
  /** Tasks in flight from this dispatcher, by endpoint id. */
  private readonly inFlight = new Map<string, number>();
  private readonly incarnation: string;

  private constructor(private readonly options: BaselineDispatcherOptions) {
    this.incarnation = options.random.id();
  }

  static create(options: BaselineDispatcherOptions): BaselineDispatcher {
    return new BaselineDispatcher(options);
  }

  authenticate(tokenSha256: string): Caller | undefined {
    return this.options.inventory.findCallerByToken(tokenSha256);
  }

  owner(): string {
    return `${this.incarnation}.1`;
  }

  isReady(): boolean {
    return true;
  }

  /** Runs a submission without regard to its key. */
  submit(_caller: Caller, _key: string, body: Result<Submission, Problem>): Promise<SubmitOutcome> {
    return this.lookup(_caller, body);
  }

  async status(): Promise<Result<JobStatus, Problem>> {
    return Err(createProblem('not-found', 'A baseline remembers no job.'));
  }

  cancel(): Promise<Result<JobStatus, Problem>> {
    return this.status();
  }

  async lookup(_caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome> {
    if (body.isErr()) {
      return { kind: 'refused', problem: body.error };
    }
    const outcomes = await Promise.all(this.createTasks(body.value).map((t) => this.runTask(t)));
    const results = outcomes.flatMap((o) => (o.kind === 'done' ? [o.result] : []));
    if (results.length === outcomes.length) {
      return { kind: 'answered', answer: { status: 'complete', results } };
    }
    const taskStates = outcomes.map(({ kind }) => kind);
    const problem = createProblem('outcome-unknown', 'A task of the job was not done.');
    return { kind: 'answered', answer: { status: 'failed', problem, taskStates } };
  }

  private createTasks(submission: Submission): BaselineTask[] {
    const { clock, inventory, random } = this.options;
    const deadlineAtMs = clock.nowMs() + submission.deadlineMs;
    return submission.tasks.map((spec) => {
      const operation = inventory.operations.get(spec.operation);
      if (operation === undefined) {
        throw new Error(`Operation ${spec.operation} is not declared.`);
      }
      return { taskId: random.id(), operation, input: spec.input, deadlineAtMs };
    });
  }

  /** Attempts a task until it is done, may not be retried, or its deadline passes. */
  private async runTask(task: BaselineTask): Promise<TaskOutcome> {
    const { clock } = this.options;
    for (let attempt = 1; clock.nowMs() < task.deadlineAtMs; attempt += 1) {
      const outcome = decideOutcome(await this.attempt(task, attempt), task.operation);
      if (outcome !== 'retry') {
        return outcome;
      }
      await clock.sleep(retryPauseMs);
    }
    const problem = createProblem('deadline-exceeded', 'The deadline passed.');
    return { kind: 'outcome-unknown', problem };
  }

  private async attempt(task: BaselineTask, attempt: number): Promise<EndpointReply> {
    const { clock, endpoints } = this.options;
    const placed = this.chooseEndpoint(task.operation);
    if (placed === undefined || !this.options.canReach(placed)) {
      return { kind: 'not-started', reason: 'unreachable' };
    }
    const { endpointId } = placed.endpoint;
    const leaseMs = Math.max(1, task.deadlineAtMs - clock.nowMs());
    const start = {
      incarnation: this.incarnation,
      taskId: task.taskId,
      attempt,
      operation: task.operation.operationId,
      input: task.input,
      leaseMs,
    };
    this.inFlight.set(endpointId, this.load(placed) + 1);
    const signal = AbortSignal.timeout(Math.ceil(leaseMs));
    const reply = await endpoints.run(placed.endpoint, start, signal);
    this.inFlight.set(endpointId, this.load(placed) - 1);
    return reply;
  }

  private chooseEndpoint(operation: Operation): PlacedEndpoint | undefined {
    const { policy, random, inventory } = this.options;
    const candidates = [...inventory.endpoints.values()].filter((placed) =>
      canRunOperation(operation, placed),
    );
    switch (policy.kind) {
      case 'random':
        return candidates[Math.floor(random.next() * candidates.length)];
      case 'least-connections': {
        const minInFlight = Math.min(...candidates.map((placed) => this.load(placed)));
        const leastLoaded = candidates.filter((placed) => this.load(placed) === minInFlight);
        return leastLoaded[Math.floor(random.next() * leastLoaded.length)];
      }
      default:
        return unreachable(policy);
    }
  }

  private load(placed: PlacedEndpoint): number {
    return this.inFlight.get(placed.endpoint.endpointId) ?? 0;
  }
}

/** Retries only work that certainly did not start, and repeatable operations. */
const decideOutcome = (reply: EndpointReply, operation: Operation): TaskOutcome | 'retry' => {
  switch (reply.kind) {
    case 'done':
      return { kind: 'done', result: reply.result };
    case 'not-started':
      return 'retry';
    case 'failed':
      return operation.kind === 'repeatable' ? 'retry' : { kind: 'failed', detail: reply.detail };
    case 'unknown':
      return operation.kind === 'repeatable'
        ? 'retry'
        : {
            kind: 'outcome-unknown',
            problem: createProblem('outcome-unknown', 'The endpoint gave no answer.'),
          };
    default:
      return unreachable(reply);
  }
};
