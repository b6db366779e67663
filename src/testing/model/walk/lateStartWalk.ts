/**
 * A walk over starts that reach a worker late and crashes of it meanwhile, so that they may be carried out in its next
 * lifetime, each with a second trouble.
 */
import type { ModelEvent, NextLifetime, Scenario, WorkerChoice } from '../modelEvents.js';
import { createScenario, submit } from '../scenarios.js';
import { dispatcherTroubles, requesterTroubles } from './daemonTroubles.js';
import { createMomentScenario } from './momentScenario.js';
import type { Combination } from './pairWalk.js';
import type { Trouble } from './troubles.js';
import { workerTroubles } from './workerTroubles.js';

const submitAtMs = 1_000;
/** Time from the begin of a hold to the first start, in milliseconds. */
const holdBeforeMs = 80;
/** Times from the job to the crash, for which the worker is down, and for which starts are held up after it is back. */
const crashOffsetsMs = [150, 700, 1_120, 1_600];
const downTimesMs = [200, 466, 900];
const restTimesMs = [60, 220, 800];
const runTimesMs = [500, 1_050, 1_700];
const lateTimesMs = [700, 2_300];
/** Time from the job to the second trouble, in milliseconds. */
const secondOffsetsMs = [100, 700, 1_300];
const requester = 0;
const dispatcher = 1;
const worker: WorkerChoice = { kind: 'numbered', index: 0 };

/** A way in which orders are late from a time on, for a time. */
interface Delay {
  readonly name: string;
  readonly createEvent: (atMs: number, forMs: number) => ModelEvent;
}

const heldUp = (name: string, how: Partial<Extract<ModelEvent, { kind: 'cut' }>>): Delay => ({
  name: `held up, ${name}`,
  createEvent: (atMs, forMs) => ({
    ...{ kind: 'cut', atMs, forMs, worker, daemon: null, fault: 'held-up' },
    ...how,
  }),
});

const delays: readonly Delay[] = [
  heldUp('from all', {}),
  heldUp('from dispatcher', { daemon: dispatcher }),
  heldUp('from requester', { daemon: requester }),
  heldUp('orders only', { direction: 'out' }),
  ...lateTimesMs.map((lateByMs): Delay => ({
    name: `late ${lateByMs} ms`,
    createEvent: (atMs, forMs) => ({
      ...{ kind: 'worker-fault', atMs, forMs, worker, fault: 'late', lateByMs },
    }),
  })),
];

const secondNames = ['cut from all, silent', 'cut from all, held up', 'crash, silent'];
const secondTroubles: readonly (Trouble | undefined)[] = [
  undefined,
  ...workerTroubles.filter(({ name }) => secondNames.includes(name)),
  ...[...requesterTroubles, ...dispatcherTroubles].filter(({ name }) =>
    /kill|suspension|cut of requester/.test(name),
  ),
];

/** When a scenario has its events. */
interface Moment {
  readonly crashOffsetMs: number;
  readonly downMs: number;
  readonly restMs: number;
}

const moments: readonly Moment[] = crashOffsetsMs.flatMap((crashOffsetMs) =>
  downTimesMs.flatMap((downMs) => restTimesMs.map((restMs) => ({ crashOffsetMs, downMs, restMs }))),
);

const createCalm = (position: number): Scenario => {
  const runMs = runTimesMs[position % runTimesMs.length] ?? 0;
  return createScenario(
    ['east', 'east'],
    [['east', 3]],
    [
      submit(submitAtMs, { daemon: requester, tasks: 3, runMs, estimatedMs: runMs }),
      submit(submitAtMs + 20, { daemon: dispatcher, tasks: 2, runMs, estimatedMs: runMs }),
    ],
  );
};

const createMoment = (
  delay: Delay,
  second: Trouble | undefined,
  { crashOffsetMs, downMs, restMs }: Moment,
  position: number,
  next: NextLifetime,
): Scenario => {
  const calm = createCalm(position);
  /** The second trouble hits another worker. */
  const place = { requester, dispatcher, daemonCount: calm.daemons.length, worker: 1 };
  const forMs = holdBeforeMs + crashOffsetMs + downMs + restMs;
  const secondOffsetMs = secondOffsetsMs[(position >> 1) % secondOffsetsMs.length] ?? 0;
  return createMomentScenario(calm, position, [
    delay.createEvent(submitAtMs - holdBeforeMs, forMs),
    { kind: 'crash', atMs: submitAtMs + crashOffsetMs, worker, down: 'refused', downMs, next },
    ...(second?.createEvents(place, submitAtMs + secondOffsetMs) ?? []),
  ]);
};

/**
 * All pairs of a delay beside a crash and a second trouble, and each delay alone.
 *
 * @param next - what the worker has in its next lifetime
 */
export const createLateStartPairs = (next: NextLifetime = {}): Combination[] =>
  delays.flatMap((delay) =>
    secondTroubles.map((second) => ({
      troubles: [delay.name, second?.name ?? 'none'],
      scenarios: moments.map((moment, position) =>
        createMoment(delay, second, moment, position, next),
      ),
    })),
  );
