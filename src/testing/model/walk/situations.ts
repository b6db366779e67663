/**
 * The situations in which the troubles of a walk come: jobs whose tasks run at a dispatcher when a daemon and a worker
 * fail.
 */
import type { Scenario } from '../modelEvents.js';
import { createScenario, submit } from '../scenarios.js';

/** Jobs of a calm fleet, and the daemons that take part. */
export interface Situation {
  readonly name: string;
  readonly calm: Scenario;
  readonly requester: number;
  readonly dispatcher: number;
  /** Failure domain of the dispatcher, whose workers get into trouble. */
  readonly dispatcherDomain: string;
  /** When the first trouble of a daemon comes. */
  readonly troubleAtMs: number;
}

const threeDomains = ['east', 'west', 'south'];
const submitAtMs = 1_000;
/** Requester of most situations, alone in its domain. */
const requester = 2;
/** Steps to the next daemon with which a caller comes back to the same one, and to another one. */
const sameDaemon = 3;
const otherDaemon = 1;

/** Jobs that start tasks all the while. */
const steadyJobs = 14;
const steadyPeriodMs = 170;

/** Tasks that outlast every trouble of a walk. */
const longTasks = { runMs: 3_200, estimatedMs: 2_000, cpuMillis: 10_000, maxAttempts: 2 };
/** Tasks that outlast the deadline of their caller. */
const deadlineTasks = {
  ...{ runMs: 2_800, estimatedMs: 1_150, cpuMillis: 10_000, deadlineMs: 1_500, maxAttempts: 3 },
  requiredLabel: 'b',
};
const longRun = { requester, dispatcher: 0, dispatcherDomain: 'east', troubleAtMs: 1_800 };
/** The caller leaves amid the troubles. */
const nearDeadline = { ...longRun, troubleAtMs: 1_700 };

/** Workers of the only kind that can run the tasks are in the dispatcher's domain. */
const kindInEast = [
  ['south', 2],
  ['east', 4, 'b'],
  ['west', 2],
] as const;

export const situations: readonly Situation[] = [
  {
    ...{ name: 'own workers', ...longRun, dispatcher: requester, dispatcherDomain: 'south' },
    calm: createScenario(
      threeDomains,
      [
        ['east', 2],
        ['west', 2],
        ['south', 3],
      ],
      [
        submit(submitAtMs, { daemon: requester, tasks: 4, ...longTasks }),
        submit(submitAtMs, {
          ...{ daemon: requester, nextDaemonStep: sameDaemon, tasks: 2, ...longTasks },
        }),
      ],
    ),
  },
  {
    ...{ name: 'workers of another', ...longRun },
    calm: createScenario(threeDomains, kindInEast, [
      submit(submitAtMs, {
        ...{ daemon: requester, nextDaemonStep: sameDaemon, tasks: 6 },
        ...{ ...longTasks, requiredLabel: 'b' },
      }),
    ]),
  },
  {
    ...{ name: 'nine tasks', ...longRun, dispatcher: 1, dispatcherDomain: 'west' },
    calm: createScenario(
      threeDomains,
      [
        ['east', 2],
        ['west', 2],
        ['south', 1],
      ],
      [submit(submitAtMs, { daemon: requester, tasks: 9, ...longTasks })],
    ),
  },
  {
    ...{ name: 'deadline, same', ...nearDeadline },
    calm: createScenario(threeDomains, kindInEast, [
      submit(submitAtMs, {
        ...{ daemon: requester, nextDaemonStep: sameDaemon, tasks: 4 },
        ...deadlineTasks,
      }),
    ]),
  },
  {
    ...{ name: 'deadline, other', ...nearDeadline },
    calm: createScenario(
      threeDomains,
      [
        ['east', 3, 'b'],
        ['south', 1],
        ['west', 3, 'b'],
      ],
      [
        submit(submitAtMs, {
          ...{ daemon: requester, nextDaemonStep: otherDaemon, tasks: 6 },
          ...deadlineTasks,
        }),
      ],
    ),
  },
  {
    ...{ name: 'neighbours', ...nearDeadline, requester: 0, dispatcher: 1 },
    calm: createScenario(
      ['east', 'east', 'west'],
      [
        ['east', 6, 'b'],
        ['west', 3, 'b'],
      ],
      [
        submit(submitAtMs, {
          ...{ daemon: 0, nextDaemonStep: 2, tasks: 6, ...deadlineTasks },
        }),
      ],
    ),
  },
  {
    ...{ name: 'two jobs', ...longRun },
    calm: createScenario(
      threeDomains,
      [
        ['east', 3, 'b'],
        ['west', 2],
        ['south', 2],
      ],
      [
        submit(submitAtMs, { daemon: 0, tasks: 3, ...longTasks, requiredLabel: 'b' }),
        submit(submitAtMs + 50, {
          ...{ daemon: requester, tasks: 3, ...longTasks, requiredLabel: 'b' },
        }),
      ],
    ),
  },
  {
    ...{ name: 'steady jobs', ...longRun },
    calm: createScenario(
      threeDomains,
      [
        ['east', 4, 'b'],
        ['west', 2],
        ['south', 2],
      ],
      Array.from({ length: steadyJobs }, (_, index) =>
        submit(submitAtMs + index * steadyPeriodMs, {
          ...{ daemon: requester, nextDaemonStep: 1 + (index % sameDaemon), tasks: 2 },
          ...{ runMs: 800, estimatedMs: 500, cpuMillis: 10_000, maxAttempts: 2 },
          requiredLabel: 'b',
        }),
      ),
    ),
  },
];
