/**
 * A client of the job interface, as the pages describe it.
 */
import { Agent, request } from 'undici';
import { fixtureHost, fixturePrefix } from '../../standins/platform/routes.js';
import type { Recorder } from './recorder.js';

const okStatus = 200;
const goneStatus = 410;
const multipleChoicesStatus = 300;

export interface JobBody {
  readonly taskSpec: string;
  readonly steps: readonly object[];
  readonly bestEffort: true;
}

/** An answer, or none: the channel broke, or the time was over. */
export interface Answer {
  readonly status: number | undefined;
  readonly body: string;
  /** In monotonic time. */
  readonly atMs: number;
}

/** Whether an answer acknowledges a cancellation. */
export const isAcknowledgement = ({ status }: Answer): boolean =>
  status !== undefined &&
  ((status >= okStatus && status < multipleChoicesStatus) || status === goneStatus);

export class Client {
  private readonly agent = new Agent({ keepAliveTimeout: 4_000, connections: 256 });

  private constructor(private readonly recorder: Recorder) {}

  static create(recorder: Recorder): Client {
    return new Client(recorder);
  }

  /** Submits a job and waits for its end, at most for the deadline. */
  post(address: string, jobId: string, job: JobBody, deadlineMs: number): Promise<Answer> {
    return this.call(address, 'POST', jobId, deadlineMs, JSON.stringify(job));
  }

  /** Cancels a job. */
  cancel(address: string, jobId: string, deadlineMs: number): Promise<Answer> {
    return this.call(address, 'DELETE', jobId, deadlineMs);
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async call(
    address: string,
    method: 'POST' | 'DELETE',
    jobId: string,
    deadlineMs: number,
    body?: string,
  ): Promise<Answer> {
    this.recorder.add(`${method} sent`, { jobId, address });
    const answer = await this.exchange(address, method, jobId, deadlineMs, body);
    const { status, atMs } = answer;
    this.recorder.add(
      `${method} answered`,
      { jobId, address, status, body: answer.body.slice(0, 120) },
      atMs,
    );
    return answer;
  }

  private async exchange(
    address: string,
    method: 'POST' | 'DELETE',
    jobId: string,
    deadlineMs: number,
    body?: string,
  ): Promise<Answer> {
    try {
      const response = await request(`http://${address}${fixturePrefix}${jobId}`, {
        ...{ method, dispatcher: this.agent, signal: AbortSignal.timeout(deadlineMs) },
        headers: {
          host: fixtureHost,
          'x-toucandyke-deadline-ms': String(deadlineMs),
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        ...(body === undefined ? {} : { body }),
      });
      const text = await response.body.text();
      return { status: response.statusCode, body: text, atMs: performance.now() };
    } catch (error) {
      return { status: undefined, body: String(error), atMs: performance.now() };
    }
  }
}
