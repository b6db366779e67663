/**
 * A walk over all pairs of troubles around the ends of two short runs of a task, on the two workers that run it one
 * after the other. The second trouble comes with the run that follows the first one, whenever that starts.
 */
import type { ModelEvent, Scenario } from '../modelEvents.js';
import { jobIdOf } from '../modelRun.js';
import { recordScenario } from '../runScenario.js';
import { createScenario, submit } from '../scenarios.js';
import { endTroubles } from './endTroubles.js';
import type { EndTrouble } from './endTroubles.js';
import { createMomentScenario } from './momentScenario.js';
import type { Combination } from './pairWalk.js';

/** Lengths of the task, all but the last shorter than a lease, in milliseconds. */
const runTimesMs = [300, 500, 700, 1_000];
const submitAtMs = 1_000;
const firstJobId = '0000000000000001';

/** A run of the task in a scenario. */
interface MetRun {
  readonly workerIndex: number;
  /** When it ends if nothing stops it, in milliseconds from the begin of the scenario. */
  readonly endAtMs: number;
}

const createCalm = (runMs: number): Scenario =>
  createScenario(
    ['east', 'east'],
    [['east', 2]],
    [submit(submitAtMs, { runMs, estimatedMs: runMs, maxAttempts: 1 })],
  );

/** Finds a run of the task, by its position among all of them; nothing if it does not start so often. */
const findRun = async (scenario: Scenario, position: number): Promise<MetRun | undefined> => {
  const { runs, beginMs } = await recordScenario(scenario);
  const run = runs.filter(({ taskName }) => jobIdOf(taskName) === firstJobId)[position];
  return run === undefined
    ? undefined
    : {
        workerIndex: scenario.workers.findIndex((_, index) => run.workerId === `i-${index}`),
        endAtMs: run.startedAtMs - beginMs + run.spec.runMs,
      };
};

const createEvents = (trouble: EndTrouble, run: MetRun | undefined): ModelEvent[] =>
  run === undefined ? [] : trouble.createEvents(run.workerIndex, run.endAtMs);

/** The scenarios of a first trouble with each second one, for one length of the task. */
const combineWith = async (
  first: EndTrouble,
  seconds: readonly EndTrouble[],
  moment: number,
): Promise<Scenario[]> => {
  const calm = createCalm(runTimesMs[moment] ?? 0);
  const firstRun = await findRun(createMomentScenario(calm, moment, []), 0);
  const firstEvents = createEvents(first, firstRun);
  const secondRun = await findRun(createMomentScenario(calm, moment, firstEvents), 1);
  return seconds.map((second) =>
    createMomentScenario(calm, moment, [...firstEvents, ...createEvents(second, secondRun)]),
  );
};

/** All pairs of some troubles around the ends of two runs. */
export const createShortTaskPairs = async (
  troubles: readonly EndTrouble[] = endTroubles,
): Promise<Combination[]> => {
  const combinations: Combination[] = [];
  for (const first of troubles) {
    const byLength = await Promise.all(
      runTimesMs.map((_, moment) => combineWith(first, troubles, moment)),
    );
    combinations.push(
      ...troubles.map((second, index) => ({
        troubles: [first.name, second.name],
        scenarios: byLength.flatMap((scenarios) => scenarios[index] ?? []),
      })),
    );
  }
  return combinations;
};
