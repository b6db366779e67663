/**
 * A walk over the ways in which all workers of a kind are missing for a while, each with each trouble of a daemon, while
 * jobs come that need them. The workers are back before the callers have to give up.
 */
import type { ModelEvent, Scenario, WorkerChoice } from '../modelEvents.js';
import { createScenario, submit } from '../scenarios.js';
import { daemonTroubles } from './daemonTroubles.js';
import { createMomentScenario } from './momentScenario.js';
import type { Combination } from './pairWalk.js';

const kind = 'b';
const otherKind = 'a';
/** When the workers go and are back, in milliseconds. */
const goneAtMs = 1_000;
const absenceMs = 11_000;
/** When the jobs come, in milliseconds after the workers have gone: while their entries live, and after that. */
const submitOffsetsMs = [-500, 500, 3_000, 5_500, 7_000, 8_500, 10_000];
/** Time from the absence to the trouble of a daemon: after the entries have expired, in milliseconds. */
const troubleOffsetsMs = [2_000, 6_000];
const wholeWorkerCpuMillis = 20_000;
const smallWorkerCpuMillis = 8_000;
const firstDownMs = 2_000;
const drainMs = 1_500;
const requester = 2;
const dispatcher = 0;

/** Callers that wait until the workers are back, and callers that leave and come back. */
const callers = [
  { deadlineMs: 20_000, nextDaemonStep: 1, maxAttempts: 2 },
  { deadlineMs: 9_000, nextDaemonStep: 1, maxAttempts: 3 },
  { deadlineMs: 1_500, nextDaemonStep: 1, maxAttempts: 6 },
  { deadlineMs: 1_500, nextDaemonStep: 3, maxAttempts: 6 },
];

/** A way in which a worker is missing. */
interface Absence {
  readonly name: string;
  readonly createEvents: (worker: WorkerChoice) => ModelEvent[];
}

/** A worker that crashes and is back as one that is of no use, until it crashes again. */
const backAs = (
  name: string,
  next: { label?: string; cpuMillis?: number },
  last: { label?: string; cpuMillis?: number },
): Absence => ({
  name,
  createEvents: (worker) => [
    {
      ...{ kind: 'crash', atMs: goneAtMs, worker, down: 'refused', downMs: firstDownMs },
      next,
    },
    {
      ...{ kind: 'crash', atMs: goneAtMs + absenceMs - firstDownMs, worker, down: 'refused' },
      ...{ downMs: firstDownMs, next: last },
    },
  ],
});

const down = (name: string, how: 'refused' | 'silent'): Absence => ({
  name,
  createEvents: (worker) => [
    { kind: 'crash', atMs: goneAtMs, worker, down: how, downMs: absenceMs },
  ],
});

const absences: readonly Absence[] = [
  down('down, refused', 'refused'),
  down('down, silent', 'silent'),
  {
    name: 'left and replaced',
    createEvents: (worker) => [
      { kind: 'drain', atMs: goneAtMs, worker, drainMs },
      {
        ...{ kind: 'crash', atMs: goneAtMs + drainMs + 100, worker, down: 'refused' },
        downMs: absenceMs - drainMs,
      },
    ],
  },
  backAs('back as another kind', { label: otherKind }, { label: kind }),
  backAs(
    'back as a smaller one',
    { cpuMillis: smallWorkerCpuMillis },
    { cpuMillis: wholeWorkerCpuMillis },
  ),
  {
    name: 'entry expired',
    createEvents: (worker) => [{ kind: 'expire-entry', atMs: goneAtMs, worker, forMs: absenceMs }],
  },
];

/** Workers of the kind, one or two of them, behind those of another kind. */
const createCalm = (caller: (typeof callers)[number], count: number): Scenario =>
  createScenario(
    ['east', 'east', 'west'],
    [
      ['east', 2, otherKind],
      ['west', 2, otherKind],
      ['east', count, kind],
    ],
    submitOffsetsMs.map((offsetMs, index) =>
      submit(goneAtMs + offsetMs, {
        ...{ daemon: requester + index, runMs: 300, estimatedMs: 300, ...caller },
        ...{ cpuMillis: wholeWorkerCpuMillis, requiredLabel: kind },
      }),
    ),
  );

const createEvents = ({ workers }: Scenario, absence: Absence): ModelEvent[] =>
  workers.flatMap(({ label }, index) =>
    label === kind ? absence.createEvents({ kind: 'numbered', index }) : [],
  );

/** All pairs of a way of missing a kind of worker and a daemon's trouble, and each way alone. */
export const createMissingKindPairs = (): Combination[] =>
  absences.flatMap((absence) =>
    [undefined, ...daemonTroubles].map((trouble) => ({
      troubles: [absence.name, trouble?.name ?? 'none'],
      scenarios: callers.map((caller, moment) => {
        const calm = createCalm(caller, 1 + (moment % 2));
        const place = { requester, dispatcher, daemonCount: calm.daemons.length, worker: 0 };
        const troubleAtMs = goneAtMs + (troubleOffsetsMs[moment % 2] ?? 0);
        return createMomentScenario(calm, moment, [
          ...createEvents(calm, absence),
          ...(trouble?.createEvents(place, troubleAtMs) ?? []),
        ]);
      }),
    })),
  );
