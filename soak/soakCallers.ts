/**
 * The callers of a soak. Each sends one job after the other over persistent connections, and sends a
 * job again to another daemon when it gets no answer.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Pool } from 'undici';
import { unreachable } from '../src/errors/unreachable.js';
import { SeededRandom } from '../src/testing/seededRandom.js';
import { fixtureHost, fixturePrefix } from '../standins/platform/routes.js';
import type { PlannedRequest } from './faults.js';
import type { Attempt, AttemptEnd, Patience, SoakJob } from './soakJob.js';
import type { SoakFleet } from './soakFleet.js';

const callerCount = 4;
/** Most connections to a daemon, so that no request waits for the answer of another one. */
const maxConnections = 64;
/** Time between an attempt without an answer and the next one, in milliseconds. */
const resendDelayMs = 1_300;
/** Time after the deadline of a request until it counts as unanswered, in milliseconds. */
const answerGraceMs = 1_500;
/** CPU that a task requests, in thousandths of a core. */
const taskCpuMillis = 14_000;
/** Statuses after which a job is sent again, as after a broken connection. */
const resendStatuses: readonly number[] = [502, 504];

/** One in this many jobs of the callers has a task that crashes its workers. */
const crashingJobPeriod = 25;

export class SoakCallers {
  /** Every request that has ended since the last `clearAttempts`, in the order of the ends. */
  readonly attempts: Attempt[] = [];
  /** A connection pool for each daemon. */
  private readonly pools: readonly Pool[];
  private readonly stop = new AbortController();
  private jobCount = 0;
  /** Resolves when every caller has stopped. */
  private callers: Promise<unknown> = Promise.resolve();

  private constructor(
    private readonly fleet: SoakFleet,
    private readonly seed: number,
    private readonly maxPauseMs: number,
  ) {
    this.pools = fleet.daemons.map(
      ({ callers }) => new Pool(`http://${callers.address}`, { connections: maxConnections }),
    );
  }

  /**
   * Creates callers that have not started.
   *
   * @param maxPauseMs - longest pause of a caller between two jobs
   */
  static create(fleet: SoakFleet, seed: number, maxPauseMs: number): SoakCallers {
    return new SoakCallers(fleet, seed, maxPauseMs);
  }

  /** Starts the callers. */
  start(): void {
    this.callers = Promise.all(
      Array.from({ length: callerCount }, (_, index) => this.sendJobs(index)),
    );
  }

  /** Clears the recorded requests, such as those sent while the fleet was starting. */
  clearAttempts(): void {
    this.attempts.length = 0;
  }

  /** Stops the callers and waits for the answers of their requests. */
  async finish(): Promise<void> {
    this.stop.abort();
    await this.callers;
  }

  async close(): Promise<void> {
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  /** Sends one request for a job to a daemon, and records it. */
  async send(daemon: number, job: SoakJob, number = 1): Promise<Attempt> {
    const sentAtMs = performance.now();
    const end = await this.request(daemon, job);
    const attempt = { job, number, daemon, sentAtMs, endedAtMs: performance.now(), end };
    this.attempts.push(attempt);
    return attempt;
  }

  /** @returns a job with a new id */
  createJob(tasks: number, runMs: number): SoakJob {
    this.jobCount += 1;
    const jobId = `${this.seed.toString(16)}f${this.jobCount.toString(16).padStart(6, '0')}`;
    return {
      jobId: jobId.padStart(16, '0'),
      tasks,
      runMs,
      crashesWorkers: false,
      estimatedMs: runMs,
      deadlineMs: Math.round(1_500 + 3 * (1.6 * runMs + 60)),
      patience: { kind: 'past-deadline' },
    };
  }

  /** Sends a planned job, whose caller leaves at its deadline or early, and goes to another daemon. */
  async sendPlanned(request: PlannedRequest): Promise<void> {
    const { daemon, nextDaemon, leavesAfterMs, ...fields } = request;
    const created = this.createJob(fields.tasks, fields.runMs);
    const patience: Patience =
      leavesAfterMs === undefined
        ? { kind: 'to-deadline' }
        : { kind: 'leaves-early', afterMs: leavesAfterMs };
    await this.sendWithRetry({ ...created, ...fields, patience }, [daemon, nextDaemon]);
  }

  /** Cancels a job; returns the status of the answer, or undefined without one. */
  async cancel(daemon: number, { jobId }: SoakJob): Promise<number | undefined> {
    try {
      const response = await this.poolOf(daemon).request({
        method: 'DELETE',
        path: `${fixturePrefix}${jobId}`,
        headers: { host: fixtureHost },
        signal: AbortSignal.timeout(answerGraceMs),
      });
      await response.body.dump();
      return response.statusCode;
    } catch {
      return undefined;
    }
  }

  /**
   * Checks whether a daemon has a route for a path prefix, with a job that is never run.
   *
   * @returns whether the daemon has a route; undefined without an answer
   */
  async hasRoute(daemon: number, prefix: string): Promise<boolean | undefined> {
    const { jobId } = this.createJob(1, 1);
    const body = { taskSpec: '{}', steps: [{ count: 1 }], bestEffort: false };
    const end = await this.post(daemon, `${prefix}${jobId}`, body, answerGraceMs, {
      kind: 'past-deadline',
    });
    return end.kind === 'answered' ? end.status !== 404 : undefined;
  }

  /** Sends random jobs one after the other, each first to a random daemon, until `finish` is called. */
  private async sendJobs(index: number): Promise<void> {
    const random = SeededRandom.create(this.seed * callerCount + index);
    while (!this.stop.signal.aborted) {
      const tasks = 1 + Math.floor(random.next() * 6);
      const created = this.createJob(tasks, Math.round(20 + random.next() ** 2 * 700));
      const job = { ...created, crashesWorkers: this.jobCount % crashingJobPeriod === 0 };
      const daemon = Math.floor(random.next() * this.pools.length);
      await this.sendWithRetry(job, [daemon, (daemon + 1) % this.pools.length]);
      await sleep(random.next() * this.maxPauseMs);
    }
  }

  /** Sends a job to one daemon after the other until it is answered with an end or a refusal. */
  private async sendWithRetry(job: SoakJob, daemons: readonly number[]): Promise<void> {
    for (const [index, daemon] of daemons.entries()) {
      const { end } = await this.send(daemon, job, index + 1);
      if (end.kind === 'answered' && !resendStatuses.includes(end.status)) {
        return;
      }
      await sleep(resendDelayMs);
    }
  }

  private request(daemon: number, job: SoakJob): Promise<AttemptEnd> {
    const { jobId, tasks, runMs, estimatedMs, crashesWorkers, deadlineMs, patience, workerKind } =
      job;
    const crashing = crashesWorkers ? { crashingTask: `${jobId}.0.0.0` } : {};
    const taskSpec = JSON.stringify({ runMs, cpu: taskCpuMillis, ...crashing });
    const requirements = workerKind === undefined ? {} : { requirements: workerKind };
    const steps = [{ count: tasks, cpu: taskCpuMillis, memMb: 64, estimatedMs, ...requirements }];
    const body = { taskSpec, steps, bestEffort: true };
    return this.post(daemon, `${fixturePrefix}${jobId}`, body, deadlineMs, patience);
  }

  /** Posts a body to a daemon; a request without an answer is aborted when the caller's patience ends. */
  private async post(
    daemon: number,
    path: string,
    body: unknown,
    deadlineMs: number,
    patience: Patience,
  ): Promise<AttemptEnd> {
    const signal = AbortSignal.timeout(patienceMs(patience, deadlineMs));
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
      if (!signal.aborted) {
        return { kind: 'broken', code: String(error) };
      }
      return { kind: patience.kind === 'past-deadline' ? 'unanswered' : 'left' };
    }
  }

  private poolOf(daemon: number): Pool {
    const pool = this.pools[daemon];
    if (pool === undefined) {
      throw new Error(`The fleet has no daemon ${daemon}.`);
    }
    return pool;
  }
}

/** @returns time from the request until its caller leaves, in milliseconds */
const patienceMs = (patience: Patience, deadlineMs: number): number => {
  switch (patience.kind) {
    case 'to-deadline':
      return deadlineMs;
    case 'past-deadline':
      return deadlineMs + answerGraceMs;
    case 'leaves-early':
      return patience.afterMs;
    default:
      return unreachable(patience);
  }
};
