/**
 * The callers of a soak: each sends one job after the other over connections that it keeps, and sends
 * a job again at another daemon when its connection breaks.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Pool } from 'undici';
import { SeededRandom } from '../src/testing/seededRandom.js';
import { fixtureHost, fixturePrefix } from '../standins/platform/routes.js';
import type { SoakFleet } from './soakFleet.js';

const callerCount = 4;
/** Callers send a job again this long after a broken connection, in milliseconds. */
const resendMs = 1_300;
const maxAttempts = 2;
/** Time after its deadline within which a request must be answered, in milliseconds. */
const answerSlackMs = 1_500;
const taskCpu = 14_000;
const maxPauseMs = 150;

/** A job of equal tasks. */
export interface SoakJob {
  readonly jobId: string;
  readonly tasks: number;
  readonly runMs: number;
}

/** How one request ended. */
export type AttemptEnd =
  | { readonly kind: 'answered'; readonly status: number; readonly state: string | undefined }
  | { readonly kind: 'broken'; readonly code: string }
  /** No answer within the deadline and the slack. */
  | { readonly kind: 'unanswered' };

export interface Attempt {
  readonly job: SoakJob;
  /** Number of the request for this job, from 1. */
  readonly number: number;
  readonly daemon: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly end: AttemptEnd;
}

export class SoakCallers {
  readonly attempts: Attempt[] = [];
  private readonly pools: readonly Pool[];
  private readonly stop = new AbortController();
  private jobCount = 0;
  private callers: Promise<unknown> = Promise.resolve();

  private constructor(
    private readonly fleet: SoakFleet,
    private readonly seed: number,
  ) {
    this.pools = fleet.daemons.map(
      ({ callers }) => new Pool(`http://${callers.address}`, { connections: callerCount }),
    );
  }

  static create(fleet: SoakFleet, seed: number): SoakCallers {
    return new SoakCallers(fleet, seed);
  }

  /** Begins to send jobs. */
  start(): void {
    this.callers = Promise.all(
      Array.from({ length: callerCount }, (_, index) => this.sendJobs(index)),
    );
  }

  /** Forgets the requests of a fleet that was starting. */
  forget(): void {
    this.attempts.length = 0;
  }

  /** Sends no more jobs, and waits for the answers. */
  async finish(): Promise<void> {
    this.stop.abort();
    await this.callers;
  }

  async close(): Promise<void> {
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  /** Sends one request for a job. */
  async send(daemon: number, job: SoakJob, number = 1): Promise<Attempt> {
    const sentAtMs = performance.now();
    const end = await this.request(daemon, job);
    const attempt = { job, number, daemon, sentAtMs, endedAtMs: performance.now(), end };
    this.attempts.push(attempt);
    return attempt;
  }

  /** @returns a job under an id of its own */
  createJob(tasks: number, runMs: number): SoakJob {
    this.jobCount += 1;
    const jobId = `${this.seed.toString(16)}f${this.jobCount.toString(16).padStart(6, '0')}`;
    return { jobId: jobId.padStart(16, '0'), tasks, runMs };
  }

  /**
   * Asks whether a path has a route at a daemon, by a job that is never run.
   *
   * @returns whether there is a route; nothing without an answer
   */
  async hasRoute(daemon: number, prefix: string): Promise<boolean | undefined> {
    const { jobId } = this.createJob(1, 1);
    const body = { taskSpec: '{}', steps: [{ count: 1 }], bestEffort: false };
    const end = await this.post(daemon, `${prefix}${jobId}`, body, answerSlackMs);
    return end.kind === 'answered' ? end.status !== 404 : undefined;
  }

  private async sendJobs(index: number): Promise<void> {
    const random = SeededRandom.create(this.seed * callerCount + index);
    while (!this.stop.signal.aborted) {
      const tasks = 1 + Math.floor(random.next() * 6);
      const job = this.createJob(tasks, Math.round(20 + random.next() ** 2 * 700));
      await this.sendUntilAnswered(job, Math.floor(random.next() * this.pools.length));
      await sleep(random.next() * maxPauseMs);
    }
  }

  private async sendUntilAnswered(job: SoakJob, first: number): Promise<void> {
    for (let number = 1; number <= maxAttempts; number += 1) {
      const { end } = await this.send((first + number - 1) % this.pools.length, job, number);
      if (end.kind === 'answered') {
        return;
      }
      await sleep(resendMs);
    }
  }

  private request(daemon: number, { jobId, tasks, runMs }: SoakJob): Promise<AttemptEnd> {
    const taskSpec = JSON.stringify({ runMs, cpu: taskCpu });
    const steps = [{ count: tasks, cpu: taskCpu, memMb: 64, estimatedMs: runMs }];
    const deadlineMs = Math.round(1_500 + 3 * (1.6 * runMs + 60));
    const body = { taskSpec, steps, bestEffort: true };
    return this.post(daemon, `${fixturePrefix}${jobId}`, body, deadlineMs);
  }

  private async post(
    daemon: number,
    path: string,
    body: unknown,
    deadlineMs: number,
  ): Promise<AttemptEnd> {
    const signal = AbortSignal.timeout(deadlineMs + answerSlackMs);
    try {
      const response = await this.poolOf(daemon).request({
        method: 'POST',
        path,
        headers: {
          host: fixtureHost,
          'content-type': 'application/json',
          'x-toucandyke-deadline-ms': String(deadlineMs),
        },
        body: JSON.stringify(body),
        signal,
      });
      const answer = (await response.body.json()) as { readonly state?: string };
      return { kind: 'answered', status: response.statusCode, state: answer.state };
    } catch (error) {
      return signal.aborted ? { kind: 'unanswered' } : { kind: 'broken', code: String(error) };
    }
  }

  private poolOf(daemon: number): Pool {
    const pool = this.pools[daemon];
    if (pool === undefined) {
      throw new Error(`There is no daemon ${daemon}.`);
    }
    return pool;
  }
}
