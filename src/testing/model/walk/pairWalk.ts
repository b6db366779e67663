/**
 * Walks over all pairs of a daemon's and a worker's trouble, or of two daemons' troubles, each at a grid of moments.
 */
import type { Scenario } from '../modelEvents.js';
import { daemonTroubles, dispatcherTroubles, requesterTroubles } from './daemonTroubles.js';
import type { Situation } from './situations.js';
import { slowTroubles } from './slowTroubles.js';
import type { Trouble, TroublePlace } from './troubles.js';
import { lateGrantTroubles, workerTroubles } from './workerTroubles.js';

/** Time from the first trouble to the first moment of the second one, and between two moments, in milliseconds. */
const firstOffsetMs = -300;
const offsetStepMs = 60;
/** The first trouble comes at another time within this period at each moment: that of heartbeats. */
const phasePeriodMs = 300;
const phaseStepMs = 107;
const seedStep = 7;

/** A situation with the workers that can get into trouble there. */
export interface WalkSituation extends Situation {
  readonly workers: readonly number[];
}

/** A combination of troubles, with one scenario for each moment. */
export interface Combination {
  readonly troubles: readonly string[];
  readonly scenarios: readonly Scenario[];
}

export interface WalkOptions {
  readonly situations: readonly WalkSituation[];
  /** Number of moments; situations take turns, unless `isDense`. */
  readonly moments: number;
  /** Whether every moment comes in every situation. */
  readonly isDense: boolean;
}

/** @returns when the two troubles of a pair come at a moment */
export const timesAt = (
  { troubleAtMs }: Situation,
  moment: number,
): { readonly firstAtMs: number; readonly secondAtMs: number } => {
  const firstAtMs = troubleAtMs + ((moment * phaseStepMs) % phasePeriodMs);
  return { firstAtMs, secondAtMs: firstAtMs + firstOffsetMs + moment * offsetStepMs };
};

export const placeAt = (
  { requester, dispatcher, calm, workers }: WalkSituation,
  moment: number,
): TroublePlace => ({
  ...{ requester, dispatcher, daemonCount: calm.daemons.length },
  worker: workers[moment % workers.length] ?? 0,
});

/** @returns the situations that a moment comes in */
export const situationsAt = (
  { situations, isDense }: Pick<WalkOptions, 'situations' | 'isDense'>,
  moment: number,
): readonly WalkSituation[] =>
  isDense ? situations : situations.filter((_, index) => index === moment % situations.length);

/** Adds troubles to a situation; without one of them, to see what the other does alone. */
const createScenario = (
  situation: WalkSituation,
  moment: number,
  first: Trouble | undefined,
  second: Trouble | undefined,
): Scenario => {
  const { firstAtMs, secondAtMs } = timesAt(situation, moment);
  const place = placeAt(situation, moment);
  return {
    ...situation.calm,
    seed: moment * seedStep,
    startsStateLifetime: moment % 2 === 0,
    events: [
      ...situation.calm.events,
      ...(first?.createEvents(place, firstAtMs) ?? []),
      ...(second?.createEvents(place, secondAtMs) ?? []),
    ],
  };
};

const noTrouble = 'none';

const combine = (
  { situations, moments, isDense }: WalkOptions,
  firsts: readonly (Trouble | undefined)[],
  seconds: readonly (Trouble | undefined)[],
): Combination[] =>
  firsts.flatMap((first) =>
    seconds.map((second) => ({
      troubles: [first?.name ?? noTrouble, second?.name ?? noTrouble],
      scenarios: Array.from({ length: moments }, (_, moment) => moment).flatMap((moment) =>
        situationsAt({ situations, isDense }, moment).map((situation) =>
          createScenario(situation, moment, first, second),
        ),
      ),
    })),
  );

/** All pairs of a daemon's and a worker's trouble, and each trouble alone. */
export const createPairs = (options: WalkOptions): Combination[] =>
  combine(options, [undefined, ...daemonTroubles, ...slowTroubles], [undefined, ...workerTroubles]);

/** All pairs of a daemon's trouble and late leases, and these alone. */
export const createLateGrantPairs = (options: WalkOptions): Combination[] =>
  combine(options, [undefined, ...daemonTroubles], lateGrantTroubles);

/** All pairs of a requester's and its dispatcher's trouble. */
export const createDaemonPairs = ({ situations, ...rest }: WalkOptions): Combination[] =>
  combine(
    {
      situations: situations.filter(({ requester, dispatcher }) => requester !== dispatcher),
      ...rest,
    },
    requesterTroubles,
    dispatcherTroubles,
  );
