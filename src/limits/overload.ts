/**
 * Load shedding: an overloaded daemon refuses new trial work first, then all new work.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass } from '../types/inventory.js';

/** The measure that is over its limit; callers read it in the detail of the problem. */
export type OverloadCause =
  'queue time' | 'waiting tasks' | 'event loop' | 'memory' | 'held inputs';

/** Which new work a daemon refuses. */
export type Overload =
  | { readonly kind: 'none' }
  | { readonly kind: 'sheds-trial'; readonly cause: OverloadCause }
  | { readonly kind: 'sheds-all'; readonly cause: OverloadCause };

/** The load of a daemon at one time. */
export interface LoadSample {
  /** Expected wait of paying work. */
  readonly queueMs: number;
  /** Longest wait that the configuration allows. */
  readonly maxQueueMs: number;
  readonly waitingTasks: number;
  readonly eventLoopDelayMs: number;
  /** Memory in use, as a share of what the process may use. */
  readonly memoryShare: number;
  /** Inputs of jobs that have no answer yet. */
  readonly heldInputBytes: number;
}

/** One measure with its two limits, all in the same unit. */
interface OverloadMeasure {
  readonly cause: OverloadCause;
  readonly value: number;
  /** Above this, trial work is refused. */
  readonly trialLimit: number;
  /** Above this, all work is refused. */
  readonly allLimit: number;
}

/** Share of `maxQueueMs` above which trial work is refused. */
const trialShareOfMaxQueue = 0.5;
// Limits of the other measures: above `trial...` trial work is refused, above `max...` all work.
const trialEventLoopDelayMs = 50;
const maxEventLoopDelayMs = 250;
const trialWaitingTasks = 50_000;
const maxWaitingTasks = 100_000;
const trialMemoryShare = 0.6;
const maxMemoryShare = 0.8;
const trialHeldInputBytes = 32 * 1_048_576;
const maxHeldInputBytes = 64 * 1_048_576;
/** Time after which a caller that was refused may try again. */
const shedRetryAfterMs = 1_000;

/**
 * Determines which new work a daemon refuses at its present load.
 *
 * @param sample - the load now
 * @returns the most severe overload that any measure shows; the first such measure is the cause
 */
export const detectOverload = (sample: LoadSample): Overload => {
  const measures = listMeasures(sample);
  const all = measures.find(({ value, allLimit }) => value > allLimit);
  if (all !== undefined) {
    return { kind: 'sheds-all', cause: all.cause };
  }
  const trial = measures.find(({ value, trialLimit }) => value > trialLimit);
  return trial === undefined ? { kind: 'none' } : { kind: 'sheds-trial', cause: trial.cause };
};

/**
 * Checks whether new work of a caller class is refused.
 *
 * @returns an `overloaded` problem, or undefined where the work is not refused
 */
export const checkOverload = (
  overload: Overload,
  callerClass: CallerClass,
): Problem | undefined => {
  switch (overload.kind) {
    case 'none':
      return undefined;
    case 'sheds-trial':
      return callerClass === 'trial' ? createOverloadProblem(overload.cause) : undefined;
    case 'sheds-all':
      return createOverloadProblem(overload.cause);
    default:
      return unreachable(overload);
  }
};

const listMeasures = (sample: LoadSample): OverloadMeasure[] => [
  {
    cause: 'queue time',
    value: sample.queueMs,
    trialLimit: sample.maxQueueMs * trialShareOfMaxQueue,
    // No limit for all work: admission checks the expected wait of each job instead.
    allLimit: Infinity,
  },
  {
    cause: 'waiting tasks',
    value: sample.waitingTasks,
    trialLimit: trialWaitingTasks,
    allLimit: maxWaitingTasks,
  },
  {
    cause: 'event loop',
    value: sample.eventLoopDelayMs,
    trialLimit: trialEventLoopDelayMs,
    allLimit: maxEventLoopDelayMs,
  },
  {
    cause: 'memory',
    value: sample.memoryShare,
    trialLimit: trialMemoryShare,
    allLimit: maxMemoryShare,
  },
  {
    cause: 'held inputs',
    value: sample.heldInputBytes,
    trialLimit: trialHeldInputBytes,
    allLimit: maxHeldInputBytes,
  },
];

const createOverloadProblem = (cause: OverloadCause): Problem =>
  createProblem('overloaded', `The daemon has too much work (${cause}).`, {
    runState: 'not-run',
    retryAfterMs: shedRetryAfterMs,
  });
