/**
 * Draws scenarios in which a daemon is killed while its tasks run at a neighbour, which goes on sending batches to
 * it under a steady load. Independent draws hardly ever meet in this way.
 */
import fc from 'fast-check';
import { fault } from './eventArbitraries.js';
import type { ModelEvent, ModelJob, Scenario } from './modelEvents.js';

const cpuMillis = 14_000;
const shortRunMs = 60;
const deadlineMs = 1_500;
/** The killed daemon, and the neighbour with the load. */
const killed = 0;
const neighbour = 1;
const maxFaults = 2;

/** Workers with label `b` are mostly at the neighbour, those with label `a` at both. */
const workers = [
  ...Array.from({ length: 3 }, () => ({ domain: 'east', label: 'a' })),
  ...Array.from({ length: 5 }, () => ({ domain: 'east', label: 'b' })),
  { domain: 'east', label: 'a' },
  { domain: 'west', label: 'b' },
  ...Array.from({ length: 4 }, () => ({ domain: 'east', label: 'a' })),
  ...Array.from({ length: 4 }, () => ({ domain: 'west', label: 'b' })),
];

const integer = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min, max });

/** A job whose tasks outlast its caller's deadline, and that the caller sends again elsewhere. */
const longJob: fc.Arbitrary<ModelJob> = fc.record({
  daemon: fc.constant(killed),
  nextDaemonStep: integer(1, 2),
  tasks: integer(4, 8),
  runMs: integer(1_500, 3_000),
  estimatedMs: integer(900, 1_500),
  cpuMillis: fc.constant(cpuMillis),
  requiredLabel: fc.constant('b'),
  deadlineMs: fc.constant(deadlineMs),
});

/** Small jobs at the neighbour, each of which has more tasks than it has free slots. */
const load: fc.Arbitrary<ModelEvent[]> = fc
  .record({ periodMs: integer(60, 180), count: integer(16, 30), tasks: integer(4, 7) })
  .map(({ periodMs, count, tasks }) =>
    Array.from({ length: count }, (_, index) => ({
      kind: 'submit',
      atMs: index * periodMs,
      job: {
        ...{ daemon: neighbour, nextDaemonStep: 1, tasks, deadlineMs, cpuMillis },
        ...{ runMs: shortRunMs, estimatedMs: shortRunMs, requiredLabel: 'a' },
      },
    })),
  );

/** Scenarios of a kill under load, with some other faults. */
export const loadedKillArbitrary: fc.Arbitrary<Scenario> = fc
  .record({
    seed: fc.nat({ max: 1_000 }),
    job: longJob,
    atMs: integer(300, 1_500),
    killedAfterMs: integer(50, 600),
    downMs: integer(1_500, 3_500),
    load,
    faults: fc.array(fault, { maxLength: maxFaults }),
    startsStateLifetime: fc.boolean(),
  })
  .map(({ seed, job, atMs, killedAfterMs, downMs, load: jobs, faults, startsStateLifetime }) => ({
    seed,
    daemons: ['east', 'east', 'west'],
    workers,
    startsStateLifetime,
    events: [
      { kind: 'submit', atMs, job },
      { kind: 'kill', atMs: atMs + killedAfterMs, daemon: killed, downMs },
      ...jobs,
      ...faults,
    ],
  }));
