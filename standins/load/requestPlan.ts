/**
 * Plans an open-loop load reproducibly: when each request arrives, from which caller, and with which
 * tasks.
 */
import type { Caller, CallerClass, Inventory, Operation } from '../../src/types/inventory.js';
import type { Submission } from '../../src/types/jobs.js';
import type { Random } from '../../src/ports/random.js';
import { chooseOne, createSubmission } from './submissions.js';

/** How a caller sends a request. */
export type RequestMode =
  | { readonly kind: 'job' }
  | { readonly kind: 'lookup' }
  /** Gives up the wait after a time, and resubmits several times at once, through any daemons. */
  | { readonly kind: 'resubmitted-job'; readonly afterMs: number; readonly copies: number };

export interface PlannedRequest {
  /** Time of arrival after the start of the load. */
  readonly atMs: number;
  readonly caller: Caller;
  readonly mode: RequestMode;
  readonly submission: Submission;
}

/** A period of the load with constant arrival rates. */
export interface LoadPhase {
  readonly durationMs: number;
  /** Mean number of tasks that each class submits per second. */
  readonly payingTasksPerS: number;
  readonly trialTasksPerS: number;
}

export interface LoadPlanOptions {
  readonly random: Random;
  readonly inventory: Inventory;
  readonly phases: readonly LoadPhase[];
  readonly deadlineMs: number;
  /** Share of the jobs that are resubmitted, between 0 and 1. */
  readonly resubmittedShare: number;
}

/** Distribution of the tasks per job: most jobs have up to 3 tasks, a few up to 230. */
const jobSizes = [
  { share: 0.85, minTasks: 1, maxTasks: 3 },
  { share: 0.1, minTasks: 4, maxTasks: 20 },
  { share: 0.045, minTasks: 21, maxTasks: 80 },
  { share: 0.005, minTasks: 81, maxTasks: 230 },
] as const;

/** Mean of the distribution, with each size of a range as likely as the others. */
const meanTasksPerJob = jobSizes.reduce(
  (sum, { share, minTasks, maxTasks }) => sum + (share * (minTasks + maxTasks)) / 2,
  0,
);
/** Share of the requests that are lookups. */
const lookupShare = 0.3;
const resubmissionCopies = 2;
const maxResubmitAfterMs = 150;

/**
 * Plans a load.
 *
 * @param options - rates, callers and operations; the same random numbers give the same plan
 * @returns the requests in order of arrival
 */
export const planLoad = (options: LoadPlanOptions): PlannedRequest[] => {
  const requests: PlannedRequest[] = [];
  let phaseStartMs = 0;
  for (const phase of options.phases) {
    requests.push(...planArrivals(options, phase, phaseStartMs, 'paying', phase.payingTasksPerS));
    requests.push(...planArrivals(options, phase, phaseStartMs, 'trial', phase.trialTasksPerS));
    phaseStartMs += phase.durationMs;
  }
  return requests.sort((a, b) => a.atMs - b.atMs);
};

/** Plans the requests of one class as a Poisson process: exponential times between arrivals. */
const planArrivals = (
  options: LoadPlanOptions,
  phase: LoadPhase,
  phaseStartMs: number,
  callerClass: CallerClass,
  tasksPerS: number,
): PlannedRequest[] => {
  const requests: PlannedRequest[] = [];
  const callers = options.inventory.callers.filter((caller) => caller.class === callerClass);
  const meanInterarrivalMs = (1_000 * meanTasksPerJob) / tasksPerS;
  const drawInterarrivalMs = (): number =>
    -Math.log(1 - options.random.next()) * meanInterarrivalMs;
  for (let atMs = drawInterarrivalMs(); atMs < phase.durationMs; atMs += drawInterarrivalMs()) {
    requests.push(planRequest(options, callers, phaseStartMs + atMs));
  }
  return requests;
};

const planRequest = (
  options: LoadPlanOptions,
  callers: readonly Caller[],
  atMs: number,
): PlannedRequest => {
  const { random, inventory, deadlineMs } = options;
  const caller = chooseOne(random, callers);
  const taskCount = drawTaskCount(random);
  const isLookup = random.next() < lookupShare;
  const operations = listOperations(inventory, isLookup ? 'repeatable' : 'once');
  const submission = createSubmission({ random, operations, taskCount, deadlineMs });
  const mode = isLookup ? { kind: 'lookup' as const } : drawJobMode(options);
  return { atMs, caller, mode, submission };
};

const listOperations = (inventory: Inventory, kind: Operation['kind']): Operation[] =>
  inventory.operations.filter((operation) => operation.kind === kind);

/** Draws the size of a job from `jobSizes`. */
const drawTaskCount = (random: Random): number => {
  let remainder = random.next();
  for (const { share, minTasks, maxTasks } of jobSizes) {
    if (remainder < share) {
      return minTasks + Math.floor((remainder / share) * (maxTasks - minTasks + 1));
    }
    remainder -= share;
  }
  return 1;
};

const drawJobMode = ({ random, resubmittedShare }: LoadPlanOptions): RequestMode =>
  random.next() < resubmittedShare
    ? {
        kind: 'resubmitted-job',
        afterMs: random.next() * maxResubmitAfterMs,
        copies: resubmissionCopies,
      }
    : { kind: 'job' };
