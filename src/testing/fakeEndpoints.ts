/**
 * Endpoints in memory, which record every task that they start.
 */
import type { Endpoint } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort, EndpointReply, TaskStart } from '../ports/endpoints.js';

/** Decides what an endpoint does with one attempt, and what it replies. */
export type EndpointBehaviour = (endpoint: Endpoint, start: TaskStart) => Promise<EndpointReply>;

/** Run time of every task under the default behaviour. */
export const defaultRunTimeMs = 100;

export class FakeEndpoints implements EndpointPort {
  /** Attempts that started, in order. */
  readonly starts: TaskStart[] = [];
  /** Endpoint of every call of `run`, in order, whether or not the task started. */
  readonly endpointIds: string[] = [];
  /** Task ids of all cancellations, in order. */
  readonly cancelled: string[] = [];
  /** What the endpoints do; tests replace it. A behaviour that starts a task has to record the start. */
  behaviour: EndpointBehaviour = (_endpoint, start) => this.runFor(start, defaultRunTimeMs);

  /** Answers every renewal of a lease: whether the endpoint still holds it. */
  renewal: () => Promise<boolean> = () => Promise.resolve(true);

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakeEndpoints {
    return new FakeEndpoints(clock);
  }

  run(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<EndpointReply> {
    this.endpointIds.push(endpoint.endpointId);
    const aborted = new Promise<EndpointReply>((resolve) => {
      const resolveUnknown = () => resolve({ kind: 'unknown', reason: 'no-answer' });
      signal.addEventListener('abort', resolveUnknown, { once: true });
    });
    return Promise.race([this.behaviour(endpoint, start), aborted]);
  }

  /** Records a start, waits for the run time and replies with the input as the result. */
  async runFor(start: TaskStart, runTimeMs: number): Promise<EndpointReply> {
    this.recordStart(start);
    await this.clock.sleep(runTimeMs);
    return { kind: 'done', result: start.input, runTimeMs };
  }

  /** Records that an attempt started. */
  recordStart(start: TaskStart): void {
    this.starts.push(start);
  }

  /** @returns how often a task with this input started */
  countStarts(input: unknown): number {
    const text = JSON.stringify(input);
    return this.starts.filter((start) => JSON.stringify(start.input) === text).length;
  }

  cancel(_endpoint: Endpoint, taskIds: readonly string[], _signal: AbortSignal): Promise<void> {
    this.cancelled.push(...taskIds);
    return Promise.resolve();
  }

  renew(_endpoint: Endpoint, _start: TaskStart, _signal: AbortSignal): Promise<boolean> {
    return this.renewal();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
