/**
 * The troubles of a worker that a walk combines with those of daemons.
 */
import type { ModelEvent, WorkerChoice } from '../modelEvents.js';
import type { Trouble, TroublePlace } from './troubles.js';

const troubleMs = 2_400;
const lateByMs = 700;
const veryLateByMs = 2_300;
const downMs = 800;
const drainMs = 1_500;
/** Times from a cut to the crash behind it: before and after the last lease has ended. */
const earlyCrashMs = 400;
const lateCrashMs = 1_600;

type Cut = Extract<ModelEvent, { kind: 'cut' }>;
type WorkerFaultEvent = Extract<ModelEvent, { kind: 'worker-fault' }>;

const workerOf = ({ worker }: TroublePlace): WorkerChoice => ({ kind: 'numbered', index: worker });

const cutFromAll = (name: string, how: Pick<Cut, 'fault' | 'direction'>): Trouble => ({
  name: `cut from all, ${name}`,
  createEvents: (place, atMs) => [
    { ...{ kind: 'cut', atMs, worker: workerOf(place), daemon: null, forMs: troubleMs }, ...how },
  ],
});

const cutFromDispatcher = (name: string, how: Pick<Cut, 'fault' | 'direction'>): Trouble => ({
  name: `cut from dispatcher, ${name}`,
  createEvents: (place, atMs) => [
    {
      ...{ kind: 'cut', atMs, worker: workerOf(place), daemon: place.dispatcher, forMs: troubleMs },
      ...how,
    },
  ],
});

const fault = (
  name: string,
  how: Pick<WorkerFaultEvent, 'fault' | 'lateByMs'>,
  forMs = troubleMs,
): Trouble => ({
  name,
  createEvents: (place, atMs) => [
    { kind: 'worker-fault', atMs, worker: workerOf(place), forMs, ...how },
  ],
});

const crash = (down: 'refused' | 'silent'): Trouble => ({
  name: `crash, ${down}`,
  createEvents: (place, atMs) => [{ kind: 'crash', atMs, worker: workerOf(place), down, downMs }],
});

const crashBehindCut = (name: string, afterMs: number): Trouble => ({
  name: `crash behind a cut, ${name}`,
  createEvents: (place, atMs) => {
    const worker = workerOf(place);
    return [
      { kind: 'cut', atMs, worker, daemon: null, fault: 'silent', forMs: troubleMs },
      { kind: 'crash', atMs: atMs + afterMs, worker, down: 'silent', downMs: shortDownMs },
    ];
  },
});

const shortDownMs = 300;

export const workerTroubles: readonly Trouble[] = [
  cutFromAll('silent', { fault: 'silent' }),
  cutFromAll('refusing', { fault: 'refusing' }),
  cutFromAll('held up', { fault: 'held-up' }),
  cutFromAll('requests lost', { fault: 'silent', direction: 'out' }),
  cutFromAll('answers lost', { fault: 'silent', direction: 'back' }),
  cutFromDispatcher('silent', { fault: 'silent' }),
  cutFromDispatcher('refusing', { fault: 'refusing' }),
  cutFromDispatcher('held up', { fault: 'held-up' }),
  cutFromDispatcher('answers lost', { fault: 'silent', direction: 'back' }),
  fault('mute', { fault: 'mute' }),
  fault('refusing', { fault: 'refusing' }),
  fault('late 0.7 s', { fault: 'late', lateByMs }),
  fault('late 2.3 s', { fault: 'late', lateByMs: veryLateByMs }),
  crash('refused'),
  crash('silent'),
  crashBehindCut('lease holds', earlyCrashMs),
  crashBehindCut('lease over', lateCrashMs),
  {
    name: 'drain',
    createEvents: (place, atMs) => [{ kind: 'drain', atMs, worker: workerOf(place), drainMs }],
  },
];

/**
 * A late order whose lease counts from its arrival. The end of a lease is a time on the worker's clock, so that no worker
 * of the protocol grants it in this way; what the daemons do then is walked by itself.
 */
export const lateGrantTroubles: readonly Trouble[] = [
  fault('late grants 0.7 s', { fault: 'late-grants', lateByMs }),
  fault('late grants 2.3 s', { fault: 'late-grants', lateByMs: veryLateByMs }),
];
