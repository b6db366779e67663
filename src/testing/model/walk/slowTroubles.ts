/**
 * Daemons that are slow for a while, in every turn of their event loops.
 */
import type { ModelEvent } from '../modelEvents.js';
import type { Trouble, TroublePlace } from './troubles.js';

/** Whose event loops are slow. */
export type SlowRole = 'requester' | 'dispatcher' | 'both' | 'all';

/** Lengths of the turns of a slow event loop. */
export interface SlowPace {
  readonly name: string;
  readonly turnsMs: number[];
}

const steadyPaces: readonly SlowPace[] = [50, 120, 250, 500].map((turnMs) => ({
  ...{ name: `turns of ${turnMs} ms`, turnsMs: [turnMs] },
}));
/** Most turns are short enough for orders to be answered in time, and some are long. */
const changingPace: SlowPace = {
  ...{ name: 'turns of 50 to 500 ms', turnsMs: [50, 80, 500, 60, 120, 50, 250, 80, 50] },
};
export const slowPaces: readonly SlowPace[] = [...steadyPaces, changingPace];
/** Paces in the walk over all pairs. */
const pairPaces = [...steadyPaces.filter(({ turnsMs }) => turnsMs[0] === 120), changingPace];
const slowMs = 5_000;

const daemonsOf = (role: SlowRole, place: TroublePlace): (number | null)[] => {
  switch (role) {
    case 'requester':
      return [place.requester];
    case 'dispatcher':
      return [place.dispatcher];
    case 'both':
      return [place.requester, place.dispatcher];
    case 'all':
      return [null];
  }
};

/** Creates the events that make the daemons of a role slow. */
export const slowEvents = (
  role: SlowRole,
  place: TroublePlace,
  { turnsMs }: SlowPace,
  atMs: number,
): ModelEvent[] =>
  daemonsOf(role, place).map((daemon) => ({ kind: 'slow', atMs, daemon, turnsMs, forMs: slowMs }));

const pairRoles: readonly SlowRole[] = ['requester', 'dispatcher', 'all'];

/** The slow daemons of the walk over all pairs. */
export const slowTroubles: readonly Trouble[] = pairRoles.flatMap((role) =>
  pairPaces.map((pace) => ({
    name: `slow, ${pace.name}, of ${role}`,
    createEvents: (place, atMs) => slowEvents(role, place, pace, atMs),
  })),
);
