/**
 * Draws scenarios of daemons that are slow in every turn while a caller leaves and comes back elsewhere, beside other
 * connections to the same daemon and a trouble of a worker or of another daemon.
 */
import fc from 'fast-check';
import type { ModelEvent, Scenario } from './modelEvents.js';
import { connectionsBefore, slowSituations } from './walk/slowSituations.js';
import { dispatcherTroubles, requesterTroubles } from './walk/daemonTroubles.js';
import type { TroublePlace } from './walk/troubles.js';
import { workerTroubles } from './walk/workerTroubles.js';

/** Lengths of turns, in milliseconds. */
const minTurnMs = 30;
const maxTurnMs = 500;
const maxTurns = 5;
const maxSlowEvents = 2;
/** Connections of other callers that come before the one of the job. */
const maxConnections = 16;

const integer = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min, max });

/** Something slow, its time relative to the caller's leaving; `daemon`: the requester, the dispatcher, both or all. */
const slowness = fc.record({
  daemon: fc.constantFrom(
    'requester' as const,
    'dispatcher' as const,
    'both' as const,
    'all' as const,
  ),
  turnsMs: fc.array(integer(minTurnMs, maxTurnMs), { minLength: 1, maxLength: maxTurns }),
  offsetMs: integer(-2_500, 500),
  forMs: fc.oneof(integer(200, 1_500), integer(2_000, 5_000)),
});
type Slowness = typeof slowness extends fc.Arbitrary<infer S> ? S : never;

const toSlowEvents = (
  { daemon, turnsMs, offsetMs, forMs }: Slowness,
  { requester, dispatcher }: TroublePlace,
  leavesAtMs: number,
): ModelEvent[] => {
  const atMs = Math.max(leavesAtMs + offsetMs, 0);
  const chosen = {
    requester: [requester],
    dispatcher: [dispatcher],
    both: [requester, dispatcher],
    all: [null],
  }[daemon];
  return chosen.map((one) => ({ kind: 'slow', atMs, daemon: one, turnsMs, forMs }));
};

const trouble = fc.constantFrom(...workerTroubles, ...requesterTroubles, ...dispatcherTroubles);

/** Scenarios of slow daemons. */
export const slowDaemonArbitrary: fc.Arbitrary<Scenario> = fc
  .record({
    seed: fc.nat({ max: 1_000 }),
    situation: fc.constantFrom(...slowSituations),
    slownesses: fc.array(slowness, { minLength: 1, maxLength: maxSlowEvents }),
    connections: fc.oneof(fc.constant(0), integer(1, maxConnections)),
    worker: fc.nat({ max: 2 }),
    troubles: fc.array(fc.record({ trouble, offsetMs: integer(-500, 1_500) }), { maxLength: 2 }),
    startsStateLifetime: fc.boolean(),
  })
  .map(({ seed, situation, slownesses, connections, worker, troubles, startsStateLifetime }) => {
    const { calm, requester, dispatcher, leavesAtMs, dispatcherDomain } = situation;
    const workers = calm.workers.flatMap(({ domain }, index) =>
      domain === dispatcherDomain ? [index] : [],
    );
    const place = {
      ...{ requester, dispatcher, daemonCount: calm.daemons.length },
      worker: workers[worker % workers.length] ?? 0,
    };
    return {
      ...{ ...calm, seed, startsStateLifetime },
      events: [
        ...connectionsBefore(situation, connections),
        ...calm.events,
        ...slownesses.flatMap((one) => toSlowEvents(one, place, leavesAtMs)),
        ...troubles.flatMap((one) =>
          one.trouble.createEvents(place, Math.max(leavesAtMs + one.offsetMs, 0)),
        ),
      ],
    };
  });
