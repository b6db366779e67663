/**
 * A walk over all pairs of troubles of two workers that run a task one after the other: the second trouble comes about
 * when the task has started again.
 */
import type { Scenario } from '../modelEvents.js';
import { createScenario, submit } from '../scenarios.js';
import type { Combination } from './pairWalk.js';
import { findRunningWorkers } from './runningWorkers.js';
import type { Situation } from './situations.js';
import { workerTroubles } from './workerTroubles.js';

const offsetStepMs = 110;
/** Each moment has the first trouble at another time in the period of a heartbeat. */
const phasePeriodMs = 300;
const phaseStepMs = 107;

/** One task and two workers: a run that is lost is followed by one on the other worker. */
const situation: Situation = {
  ...{ name: 'two workers', requester: 1, dispatcher: 0, dispatcherDomain: 'east' },
  calm: createScenario(
    ['east', 'west'],
    [['east', 2]],
    [submit(1_000, { daemon: 1, runMs: 4_000, estimatedMs: 4_000, maxAttempts: 1 })],
  ),
  troubleAtMs: 1_800,
};

/** All pairs of troubles of two workers. */
export const createWorkerPairs = async (moments: number): Promise<Combination[]> => {
  const [first = 0] = await findRunningWorkers(situation);
  const second = situation.calm.workers.findIndex((_, index) => index !== first);
  const { requester, dispatcher, calm, troubleAtMs } = situation;
  const place = { requester, dispatcher, daemonCount: calm.daemons.length };
  return workerTroubles.flatMap((firstTrouble) =>
    workerTroubles.map((secondTrouble) => ({
      troubles: [firstTrouble.name, secondTrouble.name],
      scenarios: Array.from({ length: moments }, (_, moment): Scenario => {
        const atMs = troubleAtMs + ((moment * phaseStepMs) % phasePeriodMs);
        return {
          ...{ ...calm, seed: moment, startsStateLifetime: moment % 2 === 0 },
          events: [
            ...calm.events,
            ...firstTrouble.createEvents({ ...place, worker: first }, atMs),
            ...secondTrouble.createEvents(
              { ...place, worker: second },
              atMs + moment * offsetStepMs,
            ),
          ],
        };
      }),
    })),
  );
};
