/**
 * A walk over a slow requester that is lost shortly after a caller has left, before it has read that or has told its
 * dispatcher, and a worker of the dispatcher that no stop reaches from then on.
 */
import type { Scenario } from '../modelEvents.js';
import { requesterTroubles } from './daemonTroubles.js';
import { createMomentScenario } from './momentScenario.js';
import type { Combination } from './pairWalk.js';
import { findRunningWorkers } from './runningWorkers.js';
import { slowSituations } from './slowSituations.js';
import type { SlowSituation } from './slowSituations.js';
import type { Trouble, TroublePlace } from './troubles.js';
import { workerTroubles } from './workerTroubles.js';

/** Lengths of the turns, in milliseconds: such that the heartbeats are still answered in time. */
const turnTimesMs = [100, 160, 200, 240, 300];
/** How the slow requester is lost, and how its dispatcher loses the worker. */
const losses = /^(kill, long|freeze 3000 ms|cut of requester, silent)/;
const cutName = 'cut from all, silent';
/** The requester is slow from a while before the caller leaves. */
const slowBeforeLeavingMs = 600;
const slowMs = 1_500;
/** The requester is lost within so many turns after the caller has left. */
const lossTurns = 1.5;
const cutAfterMs = 300;
const cutPeriodMs = 500;
/** Steps by which the loss, the cut and the begin of the turns move at each moment, in milliseconds. */
const lossStepMs = 23;
const cutStepMs = 67;
const slowStepMs = 31;

/** What is the same at all moments of a combination. */
interface SlowLoss {
  readonly turnMs: number;
  readonly loss: Trouble;
  readonly cut: Trouble;
}

interface Prepared extends SlowSituation {
  readonly workers: readonly number[];
}

const createMoment = (
  { calm, requester, dispatcher, leavesAtMs, workers }: Prepared,
  { turnMs, loss, cut }: SlowLoss,
  moment: number,
): Scenario => {
  const worker = workers[moment % workers.length] ?? 0;
  const place: TroublePlace = { requester, dispatcher, worker, daemonCount: calm.daemons.length };
  const slowAtMs = leavesAtMs - slowBeforeLeavingMs - ((moment * slowStepMs) % turnMs);
  const lostAtMs = leavesAtMs + ((moment * lossStepMs) % (turnMs * lossTurns));
  const cutAtMs = leavesAtMs + cutAfterMs + ((moment * cutStepMs) % cutPeriodMs);
  return createMomentScenario(calm, moment, [
    { kind: 'slow', atMs: slowAtMs, daemon: requester, turnsMs: [turnMs], forMs: slowMs },
    ...loss.createEvents(place, lostAtMs),
    ...cut.createEvents(place, cutAtMs),
  ]);
};

/** All combinations of turns and losses; the situations take turns. */
export const createSlowLosses = async (moments: number): Promise<Combination[]> => {
  const situations: Prepared[] = [];
  for (const situation of slowSituations.filter((one) => one.dispatcher !== one.requester)) {
    situations.push({ ...situation, workers: await findRunningWorkers(situation) });
  }
  const cuts = workerTroubles.filter(({ name }) => name === cutName);
  return turnTimesMs.flatMap((turnMs) =>
    requesterTroubles
      .filter(({ name }) => losses.test(name))
      .flatMap((loss) =>
        cuts.map((cut) => ({
          troubles: [`slow requester, turns of ${turnMs} ms`, loss.name, cut.name],
          scenarios: Array.from({ length: moments }, (_, moment) => moment).flatMap((moment) =>
            situations
              .filter((__, index) => index === moment % situations.length)
              .map((situation) => createMoment(situation, { turnMs, loss, cut }, moment)),
          ),
        })),
      ),
  );
};
