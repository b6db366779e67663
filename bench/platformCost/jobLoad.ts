/**
 * The load of the platform cost bench: jobs of one step in three kinds, at a fixed rate, spread evenly
 * over the daemons.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Pool } from 'undici';
import { fixtureHost, fixturePrefix } from '../../standins/platform/routes.js';

/** Kinds of jobs: equal tasks with a run time, and how many of such jobs arrive each second. */
const jobKinds = [
  { tasks: 8, runMs: 60, perS: 24 },
  { tasks: 4, runMs: 900, perS: 4 },
  { tasks: 2, runMs: 200, perS: 70 },
] as const;
type JobKind = (typeof jobKinds)[number];

/** CPU that a task requests, in thousandths of a core. */
const taskCpuMillis = 14_000;
const deadlineMs = 1_500;
const connectionsPerDaemon = 16;

/** What became of the jobs. */
export interface LoadResult {
  readonly jobs: number;
  readonly completed: number;
  readonly medianMs: number;
  readonly p95Ms: number;
  /** Error of the last job that got no answer, if there was one. */
  readonly lastError: string | undefined;
}

export class JobLoad {
  private readonly pools: readonly Pool[];
  private readonly durationsMs: number[] = [];
  private sent = 0;
  /** Why a job got no answer; it counts as not completed. */
  private lastError: string | undefined;

  private constructor(addresses: readonly string[]) {
    this.pools = addresses.map(
      (address) => new Pool(`http://${address}`, { connections: connectionsPerDaemon }),
    );
  }

  /**
   * @param addresses - addresses of the daemons for callers, as `IP:port`
   */
  static create(addresses: readonly string[]): JobLoad {
    return new JobLoad(addresses);
  }

  /**
   * Sends jobs and waits for their answers.
   *
   * @param durationMs - how long new jobs are sent
   * @param factor - multiplies the rate of every kind
   */
  async run(durationMs: number, factor: number): Promise<LoadResult> {
    const kinds = await Promise.all(
      jobKinds.map((kind) => this.sendKind(kind, durationMs, factor)),
    );
    await Promise.all(kinds.flat());
    const sorted = [...this.durationsMs].sort((a, b) => a - b);
    const at = (share: number): number => sorted[Math.floor(sorted.length * share)] ?? 0;
    const { lastError } = this;
    return {
      jobs: this.sent,
      completed: sorted.length,
      medianMs: at(0.5),
      p95Ms: at(0.95),
      lastError,
    };
  }

  async close(): Promise<void> {
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  private async sendKind(
    kind: JobKind,
    durationMs: number,
    factor: number,
  ): Promise<Promise<void>[]> {
    const startedAtMs = performance.now();
    const periodMs = 1_000 / (kind.perS * factor);
    const answers: Promise<void>[] = [];
    while (answers.length * periodMs < durationMs) {
      await sleep(Math.max(0, startedAtMs + answers.length * periodMs - performance.now()));
      answers.push(this.sendJob(kind));
    }
    return answers;
  }

  private async sendJob({ tasks, runMs }: JobKind): Promise<void> {
    this.sent += 1;
    const jobId = this.sent.toString(16).padStart(16, '0');
    const step = { count: tasks, cpu: taskCpuMillis, memMb: 64, estimatedMs: runMs };
    const taskSpec = JSON.stringify({ runMs, cpu: taskCpuMillis });
    const sentAtMs = performance.now();
    const pool = this.pools[this.sent % this.pools.length];
    const sending = pool?.request({
      method: 'POST',
      path: `${fixturePrefix}${jobId}`,
      headers: {
        host: fixtureHost,
        'content-type': 'application/json',
        'x-toucandyke-deadline-ms': String(deadlineMs),
      },
      body: JSON.stringify({ taskSpec, steps: [step], bestEffort: true }),
    });
    try {
      const response = await sending;
      await response?.body.dump();
      if (response?.statusCode === 200) {
        this.durationsMs.push(performance.now() - sentAtMs);
      }
    } catch (error) {
      this.lastError = String(error);
    }
  }
}
