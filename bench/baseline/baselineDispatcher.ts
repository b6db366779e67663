/**
 * A dispatcher without decisions, to compare with: it sends every task at once to an endpoint that
 * it picks, and blindly tries again where that is allowed.
 */
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { createProblem } from '../../src/errors/problem.js';
import type { Problem } from '../../src/errors/problem.js';
import { unreachable } from '../../src/errors/unreachable.js';
import { fits } from '../../src/inventory/inventoryIndex.js';
import type { InventoryIndex, PlacedEndpoint } from '../../src/inventory/inventoryIndex.js';
import type { Caller, Operation } from '../../src/types/inventory.js';
import type { Submission, TaskOutcome } from '../../src/types/jobs.js';
import type { CallerService, JobStatus } from '../../src/ports/callers.js';
import type { Clock } from '../../src/ports/clock.js';
import type { EndpointPort, EndpointReply } from '../../src/ports/endpoints.js';
import type { SubmitOutcome } from '../../src/ports/peers.js';
import type { Random } from '../../src/ports/random.js';

const retryPauseMs = 20;

/** How a baseline picks an endpoint. */
export type BaselinePolicy =
  | { readonly kind: 'random' }
  /** The fewest tasks that this dispatcher has under way there. */
  | { readonly kind: 'least-connections' };

export interface BaselineDispatcherOptions {
  readonly policy: BaselinePolicy;
  readonly clock: Clock;
  readonly random: Random;
  readonly inventory: InventoryIndex;
  readonly endpoints: EndpointPort;
  /** Tells whether the network lets this dispatcher reach an endpoint now. */
  readonly canReach: (placed: PlacedEndpoint) => boolean;
}

/** One task of a baseline, with the time it has left. */
interface BaselineTask {
  readonly taskId: string;
  readonly operation: Operation;
  readonly input: unknown;
  readonly deadlineAtMs: number;
}

export class BaselineDispatcher implements CallerService {
  private readonly underWay = new Map<string, number>();
  private readonly incarnation: string;

  private constructor(private readonly options: BaselineDispatcherOptions) {
    this.incarnation = options.random.id();
  }

  static create(options: BaselineDispatcherOptions): BaselineDispatcher {
    return new BaselineDispatcher(options);
  }

  authenticate(tokenSha256: string): Caller | undefined {
    return this.options.inventory.callerByToken(tokenSha256);
  }

  owner(): string {
    return `${this.incarnation}.1`;
  }

  isReady(): boolean {
    return true;
  }

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

  private async runTask(task: BaselineTask): Promise<TaskOutcome> {
    const { clock } = this.options;
    for (let attempt = 1; clock.nowMs() < task.deadlineAtMs; attempt += 1) {
      const outcome = interpret(await this.attempt(task, attempt), task.operation);
      if (outcome !== 'again') {
        return outcome;
      }
      await clock.sleep(retryPauseMs);
    }
    const problem = createProblem('deadline-exceeded', 'The deadline passed.');
    return { kind: 'outcome-unknown', problem };
  }

  private async attempt(task: BaselineTask, attempt: number): Promise<EndpointReply> {
    const { clock, endpoints } = this.options;
    const placed = this.pick(task.operation);
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
    this.underWay.set(endpointId, this.load(placed) + 1);
    const signal = AbortSignal.timeout(Math.ceil(leaseMs));
    const reply = await endpoints.run(placed.endpoint, start, signal);
    this.underWay.set(endpointId, this.load(placed) - 1);
    return reply;
  }

  private pick(operation: Operation): PlacedEndpoint | undefined {
    const { policy, random, inventory } = this.options;
    const fitting = [...inventory.endpoints.values()].filter((placed) => fits(operation, placed));
    switch (policy.kind) {
      case 'random':
        return fitting[Math.floor(random.next() * fitting.length)];
      case 'least-connections': {
        const fewest = Math.min(...fitting.map((placed) => this.load(placed)));
        const least = fitting.filter((placed) => this.load(placed) === fewest);
        return least[Math.floor(random.next() * least.length)];
      }
      default:
        return unreachable(policy);
    }
  }

  private load(placed: PlacedEndpoint): number {
    return this.underWay.get(placed.endpoint.endpointId) ?? 0;
  }
}

/** Only work that certainly did not start, and lookups, may be tried again. */
const interpret = (reply: EndpointReply, operation: Operation): TaskOutcome | 'again' => {
  switch (reply.kind) {
    case 'done':
      return { kind: 'done', result: reply.result };
    case 'not-started':
      return 'again';
    case 'failed':
      return operation.kind === 'repeatable' ? 'again' : { kind: 'failed', detail: reply.detail };
    case 'unknown':
      return operation.kind === 'repeatable'
        ? 'again'
        : {
            kind: 'outcome-unknown',
            problem: createProblem('outcome-unknown', 'The endpoint gave no answer.'),
          };
    default:
      return unreachable(reply);
  }
};
