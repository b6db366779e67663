/**
 * A bound for placement: one queue with full knowledge, exact run times and no messages. Tasks start by latest start;
 * a job that can no longer end in time starts nothing.
 */
import { objectiveMsOf } from './arrivals.js';
import type { Arrival } from './arrivals.js';
import type { JobOutcome } from './loadReport.js';

interface QueuedJob {
  readonly arrival: Arrival;
  readonly latestStartMs: number;
  unstarted: number;
  lastEndAtMs: number;
}

interface RunEnd {
  readonly atMs: number;
  readonly worker: number;
  readonly arrival: Arrival;
}

export const playOneQueue = (
  arrivals: readonly Arrival[],
  sizes: readonly number[],
): JobOutcome[] => {
  const free = [...sizes];
  const outcomes: JobOutcome[] = [];
  let waiting: QueuedJob[] = [];
  let ends: RunEnd[] = [];
  const startWaiting = (nowMs: number): void => {
    for (const job of waiting) {
      const { arrival } = job;
      if (job.unstarted === arrival.runsMs.length && nowMs > job.latestStartMs) {
        job.unstarted = 0;
        outcomes.push({ arrival, end: 'refused', durationMs: nowMs - arrival.atMs });
        continue;
      }
      while (job.unstarted > 0) {
        const worker = bestFit(free, arrival.cpuMillis);
        if (worker === undefined) {
          break;
        }
        free[worker] = (free[worker] ?? 0) - arrival.cpuMillis;
        job.unstarted -= 1;
        const endAtMs = nowMs + (arrival.runsMs[job.unstarted] ?? 0);
        ends.push({ atMs: endAtMs, worker, arrival });
        job.lastEndAtMs = Math.max(job.lastEndAtMs, endAtMs);
        if (job.unstarted === 0) {
          const durationMs = job.lastEndAtMs - arrival.atMs;
          outcomes.push({ arrival, end: 'completed', durationMs });
        }
      }
    }
    waiting = waiting.filter(({ unstarted }) => unstarted > 0);
  };
  const endRunsUntil = (untilMs: number): void => {
    ends.sort((a, b) => a.atMs - b.atMs);
    for (let next = ends[0]; next !== undefined && next.atMs <= untilMs; next = ends[0]) {
      ends = ends.slice(1);
      free[next.worker] = (free[next.worker] ?? 0) + next.arrival.cpuMillis;
      startWaiting(next.atMs);
      ends.sort((a, b) => a.atMs - b.atMs);
    }
  };
  for (const arrival of arrivals) {
    endRunsUntil(arrival.atMs);
    const { atMs, runsMs } = arrival;
    const latestStartMs = atMs + objectiveMsOf(arrival) - Math.max(...runsMs);
    waiting.push({ arrival, latestStartMs, unstarted: runsMs.length, lastEndAtMs: atMs });
    waiting.sort((a, b) => a.latestStartMs - b.latestStartMs);
    startWaiting(arrival.atMs);
  }
  endRunsUntil(Infinity);
  return outcomes;
};

/** @returns the worker with the least free cores that suffice */
const bestFit = (free: readonly number[], cpuMillis: number): number | undefined => {
  let best: number | undefined;
  free.forEach((cores, index) => {
    if (cores >= cpuMillis && (best === undefined || cores < (free[best] ?? Infinity))) {
      best = index;
    }
  });
  return best;
};
