/**
 * Stands in for an endpoint over HTTP: runs tasks by waiting, with its own speed, slots and faults.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  cancellationSchema,
  leaseRenewalSchema,
  taskRequestSchema,
} from '../src/adapters/endpointHttp/endpointMessages.js';
import type { TaskReply, TaskRequest } from '../src/adapters/endpointHttp/endpointMessages.js';
import { HttpServer } from '../src/adapters/http/httpServer.js';
import { readJsonBody } from '../src/adapters/http/readJsonBody.js';
import { sendJson } from '../src/adapters/http/sendJson.js';
import { unreachable } from '../src/errors/unreachable.js';
import type { Clock } from '../src/ports/clock.js';
import type { EndpointFault } from './faults.js';
import { createMessageCounts } from './messageCounts.js';
import type { MessageCounts } from './messageCounts.js';
import type { StartLedger } from './startLedger.js';

const maxBodyBytes = 1_048_576;

/** Time that the tasks of an operation take on an endpoint of speed 1. */
export interface TrueRunTime {
  readonly operationId: string;
  readonly runTimeMs: number;
}

export interface EndpointStandInOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Records every start. */
  readonly ledger: StartLedger;
  /** Tasks that run at once; further ones are refused as busy. */
  readonly slots: number;
  /** Highest number of connections at once. */
  readonly connections: number;
  /** 2 runs tasks in half the time. */
  readonly speed: number;
  readonly runTimes: readonly TrueRunTime[];
}

export class EndpointStandIn {
  private server!: HttpServer;
  private fault: EndpointFault = { kind: 'none' };
  /** Running tasks by task id; aborting ends the run early. */
  private readonly running = new Map<string, AbortController>();
  private readonly counts = createMessageCounts();

  private constructor(private readonly options: EndpointStandInOptions) {}

  static async create(options: EndpointStandInOptions): Promise<EndpointStandIn> {
    const endpoint = new EndpointStandIn(options);
    endpoint.server = await HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections: options.connections,
      handle: (request, response) => endpoint.serve(request, response),
    });
    return endpoint;
  }

  get address(): string {
    return this.server.address;
  }

  /** @returns a copy of the counts of requests received so far */
  get messageCounts(): MessageCounts {
    return { ...this.counts };
  }

  /**
   * Switches to a fault. Running tasks keep their run time and reply, but the new fault decides whether
   * the reply is sent.
   *
   * @param fault - the new fault; `none` ends the one before
   */
  setFault(fault: EndpointFault): void {
    this.fault = fault;
  }

  async close(): Promise<void> {
    for (const stop of this.running.values()) {
      stop.abort();
    }
    await this.server.kill();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.fault.kind === 'dead') {
      this.counts.cut += 1;
      response.destroy();
      return;
    }
    const body = await readJsonBody(request, maxBodyBytes);
    if (body.isErr()) {
      sendJson(response, 400, { detail: body.error.detail });
      return;
    }
    switch (request.url ?? '') {
      case '/v1/tasks':
        return this.serveTask(taskRequestSchema.parse(body.value), response);
      case '/v1/cancellations':
        this.counts.cancellations += 1;
        cancellationSchema.parse(body.value).taskIds.forEach((id) => this.running.get(id)?.abort());
        {
          sendJson(response, 200, {});
          return;
        }
      case '/v1/leases': {
        this.counts.renewals += 1;
        const { taskId } = leaseRenewalSchema.parse(body.value);
        sendJson(response, 200, { held: this.running.has(taskId) });
        return;
      }
      default: {
        sendJson(response, 404, {});
        return;
      }
    }
  }

  private async serveTask(task: TaskRequest, response: ServerResponse): Promise<void> {
    if (this.fault.kind === 'busy' || this.running.size >= this.options.slots) {
      this.counts.busy += 1;
      sendJson(response, 200, { kind: 'not-started', reason: 'busy', ...copyIdentity(task) });
      return;
    }
    const reply = await this.run(task);
    this.answer(reply, response);
  }

  /** Runs a task under the fault that is active at its start. */
  private async run(task: TaskRequest): Promise<TaskReply> {
    const { clock, ledger } = this.options;
    const { fault } = this;
    this.counts.started += 1;
    ledger.record(task.operation, task.input);
    const stop = new AbortController();
    this.running.set(task.taskId, stop);
    const failsAll = fault.kind === 'failing-all';
    await clock.sleep(failsAll ? 1 : this.runTimeMs(task, fault), stop.signal);
    this.running.delete(task.taskId);
    if (failsAll) {
      return {
        kind: 'failed',
        fault: 'endpoint',
        detail: 'The worker failed.',
        ...copyIdentity(task),
      };
    }
    if (fault.kind === 'answer-late') {
      await clock.sleep(fault.lateMs);
    }
    const result = { operation: task.operation, input: task.input };
    const otherTask = fault.kind === 'answer-crossed' ? { taskId: `${task.taskId}-other` } : {};
    return { kind: 'done', result, ...copyIdentity(task), ...otherTask };
  }

  private runTimeMs(task: TaskRequest, fault: EndpointFault): number {
    const { runTimes, speed } = this.options;
    const trueRunTime = runTimes.find(({ operationId }) => operationId === task.operation);
    const factor = fault.kind === 'straggling' ? fault.factor : 1;
    return ((trueRunTime?.runTimeMs ?? 1) * factor) / speed;
  }

  /** Sends a reply, or closes the connection in its place where the current fault loses replies. */
  private answer(reply: TaskReply, response: ServerResponse): void {
    const { fault } = this;
    switch (fault.kind) {
      case 'answer-lost':
      case 'dead':
        response.destroy();
        return;
      case 'none':
      case 'straggling':
      case 'failing-all':
      case 'busy':
      case 'answer-late':
      case 'answer-crossed':
        sendJson(response, 200, reply);
        return;
      default:
        return unreachable(fault);
    }
  }
}

/** @returns the fields by which a reply names its attempt */
const copyIdentity = ({ incarnation, taskId, attempt }: TaskRequest) => ({
  incarnation,
  taskId,
  attempt,
});
