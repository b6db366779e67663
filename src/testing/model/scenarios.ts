/**
 * Short fixed orders of events, each of which leads to one kind of failure unless the daemons prevent it.
 */
import type { ModelEvent, ModelJob, Scenario } from './modelEvents.js';

/** More than a third of a worker: each has two slots. */
const halfWorkerCpuMillis = 14_000;
/** More than half of a worker: each has one slot. */
const wholeWorkerCpuMillis = 20_000;

const createJob = (job: Partial<ModelJob>): ModelJob => ({
  daemon: 0,
  nextDaemonStep: 1,
  tasks: 1,
  runMs: 1_400,
  estimatedMs: 1_200,
  cpuMillis: halfWorkerCpuMillis,
  deadlineMs: 20_000,
  ...job,
});

/** Submits a job of one task, or as given. */
export const submit = (atMs: number, job: Partial<ModelJob>): ModelEvent => ({
  kind: 'submit',
  atMs,
  job: createJob(job),
});

/** Creates a scenario whose workers are listed as domain, number and label. */
export const createScenario = (
  daemons: string[],
  workers: readonly (readonly [domain: string, count: number, label?: string])[],
  events: ModelEvent[],
): Scenario => ({
  seed: 1,
  daemons,
  workers: workers.flatMap(([domain, count, label = 'a']) =>
    Array.from({ length: count }, () => ({ domain, label })),
  ),
  startsStateLifetime: false,
  events,
});

const twoDomains = ['east', 'east', 'west'];
const anyWorkers = [
  ['east', 6],
  ['west', 4],
] as const;

/** Nothing goes wrong. */
export const calmScenario = createScenario(twoDomains, anyWorkers, [
  submit(0, { tasks: 6 }),
  submit(500, { tasks: 4, runMs: 60, estimatedMs: 60 }),
]);

const cutOff = (atMs: number): ModelEvent => ({
  kind: 'cut',
  atMs,
  worker: { kind: 'running', job: 0 },
  daemon: null,
  fault: 'silent',
  forMs: 2_000,
});

/** Two workers, one after the other, are cut off while they run the only task of a job. */
export const cutOffWorkersScenario = createScenario(twoDomains, anyWorkers, [
  submit(0, { runMs: 5_000, estimatedMs: 5_000 }),
  cutOff(500),
  cutOff(3_500),
]);

/** A daemon stops as planned while long tasks of another one's job run on its workers. */
export const plannedStopScenario = createScenario(twoDomains, anyWorkers, [
  submit(0, { tasks: 12, runMs: 7_000, estimatedMs: 7_000 }),
  { kind: 'stop', atMs: 500, daemon: 1, downMs: 1_000 },
]);

/** Period and number of small jobs, each of which has one task more than its daemon has slots. */
const smallJobPeriodMs = 150;
const smallJobs = Array.from({ length: 20 }, (_, count) =>
  submit(count * smallJobPeriodMs, {
    ...{ daemon: 1, tasks: 5, runMs: 60, estimatedMs: 60, deadlineMs: 1_500, requiredLabel: 'a' },
  }),
);

/** A daemon is killed while its tasks run at another one, which goes on sending batches to it. */
export const killedRequesterScenario = createScenario(
  twoDomains,
  [
    ['east', 3, 'a'],
    ['east', 5, 'b'],
    ['east', 1, 'a'],
    ['west', 1, 'b'],
    ['east', 4, 'a'],
    ['west', 4, 'b'],
  ],
  [
    submit(800, {
      ...{ nextDaemonStep: 2, tasks: 6, runMs: 2_200, estimatedMs: 1_300, deadlineMs: 1_500 },
      requiredLabel: 'b',
    }),
    { kind: 'kill', atMs: 1_000, daemon: 0, downMs: 3_000 },
    ...smallJobs,
  ],
);

/** An idle worker restarts, and gets a task before its dispatcher has learned of the restart. */
export const restartedWorkerScenario = createScenario(
  ['east'],
  [['east', 3]],
  [
    {
      ...{ kind: 'crash', atMs: 2_100, down: 'refused', downMs: 1_000 },
      worker: { kind: 'numbered', index: 2 },
    },
    submit(3_300, {
      ...{ tasks: 2, runMs: 600, estimatedMs: 600, deadlineMs: 1_500 },
      cpuMillis: wholeWorkerCpuMillis,
    }),
  ],
);

/** A request waits in a frozen process, and its client goes elsewhere before the process wakes. */
export const frozenDaemonScenario = createScenario(
  ['east', 'west', 'south'],
  [
    ['east', 2],
    ['west', 3],
    ['south', 2],
  ],
  [
    submit(0, { tasks: 4, runMs: 60, estimatedMs: 60 }),
    { kind: 'freeze', atMs: 1_000, daemon: 0, forMs: 4_000 },
    submit(1_100, { tasks: 4, deadlineMs: 1_500 }),
  ],
);

/** A client cancels its job at another daemon than the one that runs it. */
export const cancelledElsewhereScenario = createScenario(twoDomains, anyWorkers, [
  submit(0, { tasks: 4, runMs: 5_000, estimatedMs: 5_000 }),
  { kind: 'cancel', atMs: 1_000, job: 0, daemon: 1 },
]);

/** A client cancels its job at another daemon, which is cut off from the one that runs it. */
export const cancelledBehindCutScenario = createScenario(
  ['east', 'east'],
  [['east', 5]],
  [
    submit(443, { daemon: 1, tasks: 10, runMs: 60, estimatedMs: 60, deadlineMs: 1_500 }),
    submit(1_032, { tasks: 10, runMs: 5_680, estimatedMs: 3_408 }),
    submit(1_775, { daemon: 1, tasks: 4, runMs: 6_477, estimatedMs: 3_886 }),
    { kind: 'cut-daemons', atMs: 2_567, daemon: 0, other: 1, fault: 'silent', forMs: 3_471 },
    { kind: 'cancel', atMs: 2_601, job: 2, daemon: 0 },
  ],
);

/** A daemon is killed after it heard of a cancellation; the caller's next attempt comes to its successor. */
export const cancelledBeforeRestartScenario = createScenario(
  ['east', 'east', 'west'],
  [
    ['east', 2],
    ['west', 1],
  ],
  [
    submit(1_000, {
      ...{ nextDaemonStep: 1, tasks: 2, runMs: 3_000, estimatedMs: 1_000, cpuMillis: 5_000 },
      ...{ deadlineMs: 1_500, maxAttempts: 2 },
    }),
    { kind: 'cancel', atMs: 2_900, job: 0, daemon: 0 },
    { kind: 'kill', atMs: 3_000, daemon: 1, downMs: 300 },
  ],
);

/** An entry in the list of workers has an address that no connection can be opened to. */
export const badEntryScenario = createScenario(twoDomains, anyWorkers, [
  { kind: 'invalid-entry', atMs: 0, form: 'bad-port', worker: { kind: 'numbered', index: 0 } },
  submit(2_000, { tasks: 4 }),
]);

/** The entry of a worker omits its start while the worker runs a task. */
export const entryWithoutStartScenario = createScenario(twoDomains, anyWorkers, [
  submit(0, { runMs: 3_000, estimatedMs: 3_000 }),
  {
    ...{ kind: 'invalid-entry', atMs: 500, form: 'without-start' },
    worker: { kind: 'running', job: 0 },
  },
]);

const threeDomains = ['east', 'west', 'south'];
const twoWorkersEach = [
  ['east', 2],
  ['west', 2],
  ['south', 2],
] as const;

const heldUp = (atMs: number): ModelEvent => ({
  ...{ kind: 'cut-daemons', atMs, daemon: 2, other: 1, fault: 'held-up', forMs: 3_248 },
});

/** A link holds batches and their repeats up, the first for longer than a batch may wait. */
export const heldUpRepeatScenario = createScenario(threeDomains, twoWorkersEach, [
  submit(1_245, {
    ...{ daemon: 2, nextDaemonStep: 2, tasks: 7, runMs: 6_924, estimatedMs: 6_924 },
    isFailing: true,
  }),
  heldUp(1_245),
  heldUp(3_443),
  ...[2_980, 3_280, 3_430, 3_580, 3_730].map((atMs) =>
    submit(atMs, {
      ...{ daemon: 2, nextDaemonStep: 2, tasks: 9, runMs: 60, estimatedMs: 60, deadlineMs: 1_500 },
    }),
  ),
]);

/** A link holds a batch up whose requester has just started. */
export const heldUpNewcomerScenario = createScenario(threeDomains, twoWorkersEach, [
  { kind: 'kill', atMs: 2_443, daemon: 1, downMs: 2_213 },
  { kind: 'cut-daemons', atMs: 4_901, daemon: 1, other: 0, fault: 'held-up', forMs: 2_874 },
  submit(5_044, { daemon: 1, nextDaemonStep: 3, tasks: 6, runMs: 1_300, estimatedMs: 775 }),
]);
