/**
 * A walk over a task that crashes each worker that starts it, beside pairs of troubles of its daemons and of other
 * workers, while its caller comes back to the same daemon or to another one.
 */
import type { ModelJob, Scenario } from '../modelEvents.js';
import { createScenario, submit } from '../scenarios.js';
import { daemonTroubles, dispatcherTroubles } from './daemonTroubles.js';
import { createMomentScenario } from './momentScenario.js';
import type { Combination } from './pairWalk.js';
import type { Trouble } from './troubles.js';
import { workerTroubles } from './workerTroubles.js';

const submitAtMs = 1_000;
/** Time between two moments of the first trouble: the moments span the crashes of several workers. */
const momentStepMs = 230;
/** Times from the first trouble to the second one, which take turns, in milliseconds. */
const secondOffsetsMs = [-600, 200, 900, 2_300, 3_400, 5_000];
const wholeWorkerCpuMillis = 20_000;

/** A deadly task at daemons and workers of some domains. */
interface DeadlySituation {
  readonly calm: Scenario;
  readonly requester: number;
  readonly dispatcher: number;
}

const deadly = (job: Partial<ModelJob>): ReturnType<typeof submit> =>
  submit(submitAtMs, {
    ...{ isDeadly: true, cpuMillis: wholeWorkerCpuMillis, maxAttempts: 4 },
    ...job,
  });

const neighbours = ['east', 'east'];
const apart = ['east', 'west'];
const fourWorkers = [['east', 4]] as const;
const workersOfEach = [
  ['east', 2],
  ['west', 2],
] as const;
const veryShort = { runMs: 122, estimatedMs: 122 };
const long = { runMs: 880, estimatedMs: 880 };

const situations: readonly DeadlySituation[] = [
  {
    calm: createScenario(neighbours, fourWorkers, [deadly({ ...veryShort, deadlineMs: 9_400 })]),
    ...{ requester: 0, dispatcher: 1 },
  },
  {
    calm: createScenario(apart, workersOfEach, [
      deadly({ ...long, daemon: 1, nextDaemonStep: 2, deadlineMs: 19_000 }),
    ]),
    ...{ requester: 1, dispatcher: 0 },
  },
  {
    calm: createScenario(neighbours, fourWorkers, [
      deadly({ ...long, nextDaemonStep: 2, deadlineMs: 4_000 }),
    ]),
    ...{ requester: 0, dispatcher: 1 },
  },
  {
    calm: createScenario(apart, workersOfEach, [deadly({ ...veryShort, deadlineMs: 2_500 })]),
    ...{ requester: 0, dispatcher: 1 },
  },
  {
    calm: createScenario(apart, fourWorkers, [
      deadly({ ...long, daemon: 1, deadlineMs: 6_000, tasks: 2 }),
    ]),
    ...{ requester: 1, dispatcher: 0 },
  },
];

const secondNames = [
  'crash, silent',
  'crash behind a cut, lease holds',
  'cut from all, silent',
  'cut from all, held up',
];
const secondTroubles: readonly (Trouble | undefined)[] = [
  undefined,
  ...workerTroubles.filter(({ name }) => secondNames.includes(name)),
  ...dispatcherTroubles.filter(({ name }) => /kill|suspension/.test(name)),
];

/** Freezes are left out, since a suspension stops a process, too, and its clock besides. */
const firstTroubles = daemonTroubles.filter(({ name }) => !name.startsWith('freeze'));

const createMoment = (
  { calm, requester, dispatcher }: DeadlySituation,
  first: Trouble,
  second: Trouble | undefined,
  moment: number,
): Scenario => {
  const worker = moment % calm.workers.length;
  const place = { requester, dispatcher, daemonCount: calm.daemons.length, worker };
  const firstAtMs = submitAtMs + moment * momentStepMs;
  const offsetMs = secondOffsetsMs[moment % secondOffsetsMs.length] ?? 0;
  return createMomentScenario(calm, moment, [
    ...first.createEvents(place, firstAtMs),
    ...(second?.createEvents(place, firstAtMs + offsetMs) ?? []),
  ]);
};

/** All pairs of a daemon's trouble and one of a worker or of the dispatcher, and each trouble of a daemon alone. */
export const createDeadlyTaskPairs = (moments: number): Combination[] =>
  firstTroubles.flatMap((first) =>
    secondTroubles.map((second) => ({
      troubles: [first.name, second?.name ?? 'none'],
      scenarios: Array.from({ length: moments }, (_, moment) => moment).flatMap((moment) =>
        situations
          .filter((_, index) => index === moment % situations.length)
          .map((situation) => createMoment(situation, first, second, moment)),
      ),
    })),
  );
