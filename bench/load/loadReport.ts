/**
 * Prints what became of the jobs of a play.
 */
import type { JobEnd } from '../../src/ports/jobs.js';
import { routes } from './arrivals.js';
import type { Arrival } from './arrivals.js';

export interface JobOutcome {
  readonly arrival: Arrival;
  readonly end: JobEnd['kind'];
  readonly durationMs: number;
}

const percent = (part: number, whole: number): string =>
  `${((100 * part) / Math.max(whole, 1)).toFixed(1)}%`;

const quantile = (values: readonly number[], share: number): number =>
  [...values].sort((a, b) => a - b)[Math.floor(share * (values.length - 1))] ?? 0;

/** Share of its value that a response keeps after the objective, until three times the objective. */
const lateValueShare = 0.2;
const worthlessFactor = 3;

const coreMsOf = ({ runsMs, cpuMillis }: Arrival): number =>
  (runsMs.reduce((sumMs, runMs) => sumMs + runMs, 0) * cpuMillis) / 1_000;

/** @returns the share of the core-milliseconds asked for that callers get, late responses at a fifth */
const servedShareOf = (
  arrivals: readonly Arrival[],
  outcomes: readonly JobOutcome[],
  objectiveMsOf: (arrival: Arrival) => number,
): number => {
  const askedCoreMs = arrivals.reduce((sum, arrival) => sum + coreMsOf(arrival), 0);
  const servedCoreMs = outcomes.reduce((sum, { arrival, end, durationMs }) => {
    const objectiveMs = objectiveMsOf(arrival);
    if (end !== 'completed' || durationMs > worthlessFactor * objectiveMs) {
      return sum;
    }
    return sum + coreMsOf(arrival) * (durationMs <= objectiveMs ? 1 : lateValueShare);
  }, 0);
  return servedCoreMs / Math.max(askedCoreMs, 1);
};

export const printReport = (
  title: string,
  arrivals: readonly Arrival[],
  outcomes: readonly JobOutcome[],
  objectiveMsOf: (arrival: Arrival) => number,
): void => {
  process.stdout.write(`${title}\n`);
  for (const { routeId } of routes) {
    const asked = arrivals.filter(({ route }) => route.routeId === routeId).length;
    const ended = outcomes.filter(({ arrival }) => arrival.route.routeId === routeId);
    const completed = ended.filter(({ end }) => end === 'completed');
    const inTime = completed.filter(
      ({ arrival, durationMs }) => durationMs <= objectiveMsOf(arrival),
    );
    const refused = ended.filter(({ end }) => end === 'refused');
    const delays = completed.map(
      ({ arrival, durationMs }) => durationMs - Math.max(...arrival.runsMs),
    );
    process.stdout.write(
      `  ${routeId.padEnd(6)} ${asked} jobs: in time ${percent(inTime.length, asked)}, ` +
        `refused ${percent(refused.length, asked)}, ` +
        `delay median ${quantile(delays, 0.5).toFixed(0)} ms, p90 ${quantile(delays, 0.9).toFixed(0)} ms; ` +
        `refused after median ${quantile(
          refused.map((one) => one.durationMs),
          0.5,
        ).toFixed(0)} ms\n`,
    );
  }
  const share = servedShareOf(arrivals, outcomes, objectiveMsOf);
  process.stdout.write(`  value of the responses: ${percent(share, 1)} of the core-ms asked for\n`);
};
