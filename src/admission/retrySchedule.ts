/**
 * Times after which refused callers are asked to retry: one after the other, as capacity for their jobs is forecast to be
 * free, in the order in which the jobs first arrived.
 */
import type { Clock } from '../ports/clock.js';
import type { Random } from '../ports/random.js';

/** Shortest time after which a refused caller is asked to retry, in milliseconds. */
export const minRetryAfterMs = 1_000;
/** Longest one, in milliseconds; load that far ahead is not forecast. */
export const maxRetryAfterMs = 30_000;
/** Share of the capacity that repeated jobs may use; the rest is for jobs that come for the first time. */
const retryCapacityShare = 0.25;
/** Share of the retry time by which it is spread, so that the callers of several daemons do not come together. */
const spreadShare = 0.1;
/** Number of refused jobs whose times are remembered. */
const maxRemembered = 256;

export interface RefusedJob {
  readonly jobId: string;
  readonly serviceId: string;
  /** Cores times milliseconds of expected run time. */
  readonly coreMs: number;
  /** Cores of the service's workers, in thousandths; 0 where unknown. */
  readonly capacityCpuMillis: number;
  /** How late after its objective the job was expected to end, in milliseconds. */
  readonly lateMs: number;
  /** When its request arrived, in monotonic milliseconds. */
  readonly arrivedAtMs: number;
}

interface RetryTurn {
  readonly serviceId: string;
  readonly firstArrivedAtMs: number;
  readonly retryAtMs: number;
}

export class RetrySchedule {
  /** By job id, in the order of refusal. */
  private readonly turns = new Map<string, RetryTurn>();
  /** By service: monotonic time until which capacity is promised to refused jobs. */
  private readonly promisedUntilMs = new Map<string, number>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  static create(clock: Clock, random: Random): RetrySchedule {
    return new RetrySchedule(clock, random);
  }

  /** @returns time after which the caller of a refused job is asked to retry, in milliseconds */
  retryAfterMs(job: RefusedJob): number {
    const nowMs = this.clock.nowMs();
    const { jobId, serviceId } = job;
    const firstArrivedAtMs = this.turns.get(jobId)?.firstArrivedAtMs ?? job.arrivedAtMs;
    this.turns.delete(jobId);
    const others = [...this.turns.values()].filter((turn) => turn.serviceId === serviceId);
    const earlier = others.filter((turn) => turn.firstArrivedAtMs <= firstArrivedAtMs);
    const later = others.filter((turn) => turn.firstArrivedAtMs > firstArrivedAtMs);
    const lowestMs = Math.max(
      nowMs + minRetryAfterMs,
      ...earlier.map(({ retryAtMs }) => Math.min(retryAtMs, nowMs + maxRetryAfterMs)),
    );
    const highestMs = Math.min(nowMs + maxRetryAfterMs, ...later.map(({ retryAtMs }) => retryAtMs));
    const retryAtMs = Math.max(Math.min(this.forecastMs(job, nowMs), highestMs), lowestMs);
    this.remember(jobId, { serviceId, firstArrivedAtMs, retryAtMs });
    return Math.ceil(retryAtMs - nowMs);
  }

  /** Forecasts when capacity is free for one more job, and promises it; spread at random. */
  private forecastMs(job: RefusedJob, nowMs: number): number {
    const { serviceId, lateMs } = job;
    const earliestMs = nowMs + Math.max(lateMs, minRetryAfterMs);
    const promisedMs = this.promisedUntilMs.get(serviceId) ?? earliestMs;
    const freeAtMs = Math.min(Math.max(promisedMs, earliestMs), nowMs + maxRetryAfterMs);
    this.promisedUntilMs.set(serviceId, freeAtMs + serviceTimeMs(job));
    return freeAtMs + spreadShare * (freeAtMs - nowMs) * this.random.next();
  }

  private remember(jobId: string, turn: RetryTurn): void {
    this.turns.set(jobId, turn);
    const [oldestId] = this.turns.keys();
    if (this.turns.size > maxRemembered && oldestId !== undefined) {
      this.turns.delete(oldestId);
    }
  }
}

/** @returns time that the job takes of the capacity for repeated jobs, in milliseconds */
const serviceTimeMs = ({ coreMs, capacityCpuMillis }: RefusedJob): number =>
  capacityCpuMillis > 0 ? (coreMs * 1_000) / (capacityCpuMillis * retryCapacityShare) : 0;
