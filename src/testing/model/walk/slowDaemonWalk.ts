/**
 * A walk over daemons that are slow in every turn, each with a trouble of a worker or of another daemon, while callers
 * leave early or at their deadline and come back elsewhere.
 */
import type { Scenario } from '../modelEvents.js';
import { dispatcherTroubles, requesterTroubles } from './daemonTroubles.js';
import { createMomentScenario } from './momentScenario.js';
import type { Combination } from './pairWalk.js';
import { findRunningWorkers } from './runningWorkers.js';
import { connectionsBefore, slowSituations } from './slowSituations.js';
import type { SlowSituation } from './slowSituations.js';
import { slowEvents, slowPaces } from './slowTroubles.js';
import type { SlowPace, SlowRole } from './slowTroubles.js';
import type { Trouble } from './troubles.js';
import { workerTroubles } from './workerTroubles.js';

/** Time from the caller's leaving to the first moment of the second trouble, and between two moments, in milliseconds. */
const firstOffsetMs = -300;
const offsetStepMs = 50;
/** Times from the job, and from the caller's leaving, to the begin of the slow time, in milliseconds. */
const slowBeforeJobMs = 300;
const slowBeforeLeavingMs = 700;
/** Moves the begin of the turns at each moment, in milliseconds. */
const phaseStepMs = 37;
const phasePeriodMs = 500;
/** Time from the caller's leaving until its connection is accepted at the first moment, and between two moments. */
const firstWaitMs = 900;
const waitStepMs = 30;
const waitingRoles: readonly SlowRole[] = ['requester', 'all'];
/** Troubles of a worker that runs a task of a job which was read late. */
const waitingTroubles = /^(cut from all, silent|late 0.7 s|crash, refused)$/;
/** Times from the accepting of the connection to the trouble of the worker, in turns. */
const troubleTurns = [1, 1.5, 2, 3];
const slowRoles: readonly SlowRole[] = ['requester', 'dispatcher', 'both', 'all'];

/** The troubles beside a slow daemon: those of a worker, and those of a daemon in another role. */
const secondTroublesOf = (role: SlowRole): readonly (Trouble | undefined)[] => {
  switch (role) {
    case 'requester':
      return [undefined, ...workerTroubles, ...dispatcherTroubles];
    case 'dispatcher':
      return [undefined, ...workerTroubles, ...requesterTroubles];
    case 'both':
    case 'all':
      return [undefined, ...workerTroubles, ...requesterTroubles, ...dispatcherTroubles];
  }
};

/** A situation, when the slow time begins, and the workers that can get into trouble. */
interface Prepared extends SlowSituation {
  readonly slowAtMs: number;
  readonly workers: readonly number[];
}

/** Who is slow, how, and what comes beside it. */
interface SlowPair {
  readonly role: SlowRole;
  readonly pace: SlowPace;
  readonly second: Trouble | undefined;
}

/** When the second trouble comes. */
interface SecondMoment {
  readonly moment: number;
  readonly secondAtMs: number;
}

const createMoment = (
  { calm, requester, dispatcher, slowAtMs, workers }: Prepared,
  { role, pace, second }: SlowPair,
  { moment, secondAtMs }: SecondMoment,
): Scenario => {
  const worker = workers[moment % workers.length] ?? 0;
  const place = { requester, dispatcher, worker, daemonCount: calm.daemons.length };
  const atMs = slowAtMs - ((moment * phaseStepMs) % phasePeriodMs);
  return createMomentScenario(calm, moment, [
    ...slowEvents(role, place, pace, atMs),
    ...(second?.createEvents(place, secondAtMs) ?? []),
  ]);
};

/**
 * Lets other connections wait before that of the job, for about as long as until its caller has come back. Troubles come
 * when the job is read.
 */
const waitBehindConnections = (
  situation: Prepared,
  { turnsMs }: SlowPace,
  moment: number,
): Prepared => {
  const meanTurnMs = turnsMs.reduce((sum, turnMs) => sum + turnMs, 0) / turnsMs.length;
  const leavesAfterMs = situation.leavesAtMs - situation.submitAtMs;
  const waitMs = leavesAfterMs + firstWaitMs + moment * waitStepMs;
  const connections = connectionsBefore(situation, Math.round(waitMs / meanTurnMs));
  const { calm, submitAtMs } = situation;
  const readAtMs = submitAtMs + waitMs;
  const turns = troubleTurns[moment % troubleTurns.length] ?? 0;
  return {
    ...situation,
    troubleAtMs: readAtMs + turns * meanTurnMs,
    calm: { ...calm, events: [...connections, ...calm.events] },
  };
};

const hasRole = ({ requester, dispatcher }: SlowSituation, role: SlowRole): boolean =>
  dispatcher !== requester || role === 'requester' || role === 'all';

/** The scenarios of a pair; the situations take turns. */
const createPair = (
  situations: readonly Prepared[],
  pair: SlowPair,
  moments: number,
): Combination => {
  const met = situations.filter((one) => hasRole(one, pair.role));
  return {
    troubles: [`slow, ${pair.pace.name}, of ${pair.role}`, pair.second?.name ?? 'none'],
    scenarios: Array.from({ length: moments }, (_, moment) =>
      met
        .filter((__, index) => index === moment % met.length)
        .map((situation) => {
          const secondAtMs = situation.leavesAtMs + firstOffsetMs + moment * offsetStepMs;
          return createMoment(situation, pair, { moment, secondAtMs });
        }),
    ).flat(),
  };
};

/** A slow requester behind whose other connections the job waits, with a worker's trouble. */
const createWaitingPair = (
  situations: readonly Prepared[],
  pair: SlowPair,
  moments: number,
): Combination => ({
  troubles: [
    `slow, ${pair.pace.name}, of ${pair.role}, behind connections`,
    pair.second?.name ?? 'none',
  ],
  scenarios: Array.from({ length: moments }, (_, moment) =>
    situations
      .filter((__, index) => index === moment % situations.length)
      .map((one) => waitBehindConnections(one, pair.pace, moment))
      .map((one) => createMoment(one, pair, { moment, secondAtMs: one.troubleAtMs })),
  ).flat(),
});

const prepareSituations = async (): Promise<Prepared[]> => {
  const prepared: Prepared[] = [];
  for (const situation of slowSituations) {
    const { submitAtMs, leavesAtMs } = situation;
    const workers = await findRunningWorkers(situation);
    const beginsMs = [submitAtMs - slowBeforeJobMs, leavesAtMs - slowBeforeLeavingMs];
    prepared.push(...beginsMs.map((slowAtMs) => ({ ...situation, workers, slowAtMs })));
  }
  return prepared;
};

/** All pairs of a slow daemon and a second trouble, and each slow daemon alone. */
export const createSlowDaemonPairs = async (moments: number): Promise<Combination[]> => {
  const situations = await prepareSituations();
  const waiting = situations.filter(({ slowAtMs, submitAtMs }) => slowAtMs < submitAtMs);
  const paces = (role: SlowRole): readonly Pick<SlowPair, 'role' | 'pace'>[] =>
    slowPaces.map((pace) => ({ role, pace }));
  return [
    ...slowRoles.flatMap((role) =>
      paces(role).flatMap((slow) =>
        secondTroublesOf(role).map((second) =>
          createPair(situations, { ...slow, second }, moments),
        ),
      ),
    ),
    ...waitingRoles.flatMap((role) =>
      paces(role).flatMap((slow) =>
        [undefined, ...workerTroubles.filter(({ name }) => waitingTroubles.test(name))].map(
          (second) => createWaitingPair(waiting, { ...slow, second }, moments),
        ),
      ),
    ),
  ];
};
