/**
 * Endpoints in memory, which count the starts of every task.
 */
import type { Endpoint } from '../types/inventory.js';
import type { Clock } from '../ports/clock.js';
import type { EndpointPort, EndpointReply, TaskStart } from '../ports/endpoints.js';

/** Answers one start; the default runs the operation for a fixed time. */
export type EndpointBehaviour = (endpoint: Endpoint, start: TaskStart) => Promise<EndpointReply>;

export const defaultRunTimeMs = 100;

export class FakeEndpoints implements EndpointPort {
  readonly starts: TaskStart[] = [];
  /** Endpoint of every message that asks for a start, in order. */
  readonly endpointIds: string[] = [];
  readonly cancelled: string[] = [];
  /** Set to change what the endpoints do. A behaviour that starts the task calls `begin`. */
  behaviour: EndpointBehaviour = (_endpoint, start) => this.runFor(start, defaultRunTimeMs);

  /** Answers every renewal of a lease. */
  renewal: () => Promise<boolean> = () => Promise.resolve(true);

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakeEndpoints {
    return new FakeEndpoints(clock);
  }

  run(endpoint: Endpoint, start: TaskStart, signal: AbortSignal): Promise<EndpointReply> {
    this.endpointIds.push(endpoint.endpointId);
    const givenUp = new Promise<EndpointReply>((resolve) => {
      const giveUp = () => resolve({ kind: 'unknown', reason: 'no-answer' });
      signal.addEventListener('abort', giveUp, { once: true });
    });
    return Promise.race([this.behaviour(endpoint, start), givenUp]);
  }

  /** Starts a task, runs it for a time and answers with its input. */
  async runFor(start: TaskStart, runTimeMs: number): Promise<EndpointReply> {
    this.begin(start);
    await this.clock.sleep(runTimeMs);
    return { kind: 'done', result: start.input, runTimeMs };
  }

  /** Counts a start. */
  begin(start: TaskStart): void {
    this.starts.push(start);
  }

  /** @returns how often a task with this input started */
  startsOf(input: unknown): number {
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
