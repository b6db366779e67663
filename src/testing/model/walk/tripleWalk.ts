/**
 * A seeded sample of three troubles at once: those of a pair, and a third one of a daemon or of a worker.
 */
import fc from 'fast-check';
import type { Scenario } from '../modelEvents.js';
import { daemonTroubles } from './daemonTroubles.js';
import { placeAt, timesAt } from './pairWalk.js';
import type { Combination, WalkSituation } from './pairWalk.js';
import { workerTroubles } from './workerTroubles.js';

const maxMoment = 27;
const maxThirdOffsetMs = 1_500;
const maxSeed = 1_000;

export interface TripleOptions {
  readonly situations: readonly WalkSituation[];
  readonly count: number;
  readonly seed: number;
}

const createTriple = (situations: readonly WalkSituation[]): fc.Arbitrary<Combination> =>
  fc
    .record({
      situation: fc.constantFrom(...situations),
      moment: fc.nat({ max: maxMoment }),
      daemonTrouble: fc.constantFrom(...daemonTroubles),
      workerTrouble: fc.constantFrom(...workerTroubles),
      third: fc.constantFrom(...daemonTroubles, ...workerTroubles),
      thirdOffsetMs: fc.integer({ min: -maxThirdOffsetMs / 5, max: maxThirdOffsetMs }),
      /** Moves the third trouble to another worker, if it is one of a worker. */
      thirdPlace: fc.nat({ max: 2 }),
      seed: fc.nat({ max: maxSeed }),
      startsStateLifetime: fc.boolean(),
    })
    .map(({ situation, moment, daemonTrouble, workerTrouble, third, ...rest }) => {
      const { firstAtMs, secondAtMs } = timesAt(situation, moment);
      const place = placeAt(situation, moment);
      const thirdPlace = placeAt(situation, moment + rest.thirdPlace);
      const scenario: Scenario = {
        ...situation.calm,
        ...{ seed: rest.seed, startsStateLifetime: rest.startsStateLifetime },
        events: [
          ...situation.calm.events,
          ...daemonTrouble.createEvents(place, firstAtMs),
          ...workerTrouble.createEvents(place, secondAtMs),
          ...third.createEvents(thirdPlace, firstAtMs + rest.thirdOffsetMs),
        ],
      };
      const troubles = [daemonTrouble, workerTrouble, third].map(({ name }) => name);
      return { troubles, scenarios: [scenario] };
    });

/** Draws combinations of three troubles, each with one scenario; the same seed draws the same ones. */
export const drawTriples = ({ situations, count, seed }: TripleOptions): Combination[] =>
  fc.sample(fc.noBias(createTriple(situations)), { seed, numRuns: count });
