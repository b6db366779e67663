/**
 * Plans an open-loop load from a seed: when each request arrives, whose it is, and what it asks.
 */
import type { Caller, CallerClass, Inventory, Operation } from '../../src/types/inventory.js';
import type { Submission } from '../../src/types/jobs.js';
import type { Random } from '../../src/ports/random.js';
import { chooseOne, createSubmission } from './submissions.js';

/** How a caller sends a request. */
export type RequestManner =
  | { readonly kind: 'job' }
  | { readonly kind: 'lookup' }
  /** Gives up the wait after a time, and resubmits through several daemons at once. */
  | { readonly kind: 'resubmitted-job'; readonly afterMs: number; readonly copies: number };

export interface PlannedRequest {
  /** Time after the start of the load. */
  readonly atMs: number;
  readonly caller: Caller;
  readonly manner: RequestManner;
  readonly submission: Submission;
}

/** A stretch of the load with steady rates of arrival. */
export interface LoadPhase {
  readonly durationMs: number;
  /** Tasks offered a second by each class. */
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

/** Sizes of jobs: most are short, a few have up to 230 tasks. */
const jobSizes = [
  { share: 0.85, minTasks: 1, maxTasks: 3 },
  { share: 0.1, minTasks: 4, maxTasks: 20 },
  { share: 0.045, minTasks: 21, maxTasks: 80 },
  { share: 0.005, minTasks: 81, maxTasks: 230 },
] as const;

const meanTasksPerJob = jobSizes.reduce(
  (sum, { share, minTasks, maxTasks }) => sum + (share * (minTasks + maxTasks)) / 2,
  0,
);
const lookupShare = 0.3;
const resubmissionCopies = 2;
const maxResubmitAfterMs = 150;

/**
 * Plans a load.
 *
 * @param options - rates, operations and the random numbers that decide
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

/** Arrivals of one class: exponential pauses of the mean that the rate asks for. */
const planArrivals = (
  options: LoadPlanOptions,
  phase: LoadPhase,
  phaseStartMs: number,
  callerClass: CallerClass,
  tasksPerS: number,
): PlannedRequest[] => {
  const requests: PlannedRequest[] = [];
  const callers = options.inventory.callers.filter((caller) => caller.class === callerClass);
  const meanPauseMs = (1_000 * meanTasksPerJob) / tasksPerS;
  const drawPauseMs = (): number => -Math.log(1 - options.random.next()) * meanPauseMs;
  for (let atMs = drawPauseMs(); atMs < phase.durationMs; atMs += drawPauseMs()) {
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
  const manner = isLookup ? { kind: 'lookup' as const } : drawJobManner(options);
  return { atMs, caller, manner, submission };
};

const listOperations = (inventory: Inventory, kind: Operation['kind']): Operation[] =>
  inventory.operations.filter((operation) => operation.kind === kind);

const drawTaskCount = (random: Random): number => {
  let unit = random.next();
  for (const { share, minTasks, maxTasks } of jobSizes) {
    if (unit < share) {
      return minTasks + Math.floor((unit / share) * (maxTasks - minTasks + 1));
    }
    unit -= share;
  }
  return 1;
};

const drawJobManner = ({ random, resubmittedShare }: LoadPlanOptions): RequestManner =>
  random.next() < resubmittedShare
    ? {
        kind: 'resubmitted-job',
        afterMs: random.next() * maxResubmitAfterMs,
        copies: resubmissionCopies,
      }
    : { kind: 'job' };
