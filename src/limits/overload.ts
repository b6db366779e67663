/**
 * How much work an overloaded daemon sheds: trial work first, then all.
 */
import { createProblem } from '../errors/problem.js';
import type { Problem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { CallerClass } from '../types/inventory.js';

/** What overloads a daemon. */
export type OverloadCause =
  'queue time' | 'waiting tasks' | 'event loop' | 'memory' | 'held inputs';

/** What a daemon turns away. */
export type Overload =
  | { readonly kind: 'none' }
  | { readonly kind: 'sheds-trial'; readonly cause: OverloadCause }
  | { readonly kind: 'sheds-all'; readonly cause: OverloadCause };

/** What is measured, in the units of the limits below. */
export interface LoadReading {
  /** Expected wait of paying work. */
  readonly queueMs: number;
  readonly maxQueueMs: number;
  readonly waitingTasks: number;
  readonly eventLoopDelayMs: number;
  readonly memoryShare: number;
  readonly heldInputBytes: number;
}

/** One measure against its two limits. */
interface Measure {
  readonly cause: OverloadCause;
  readonly value: number;
  readonly trialLimit: number;
  readonly allLimit: number;
}

const trialShareOfQueue = 0.5;
const trialEventLoopDelayMs = 50;
const maxEventLoopDelayMs = 250;
const trialWaitingTasks = 50_000;
const maxWaitingTasks = 100_000;
const trialMemoryShare = 0.6;
const maxMemoryShare = 0.8;
const trialHeldInputBytes = 32 * 1_048_576;
const maxHeldInputBytes = 64 * 1_048_576;
/** Time that callers are asked to wait while a daemon sheds. */
const shedPauseMs = 1_000;

/**
 * Decides what a daemon sheds.
 *
 * @param reading - what is measured now
 * @returns the heaviest overload that any measure shows
 */
export const judgeLoad = (reading: LoadReading): Overload => {
  const measures = listMeasures(reading);
  const all = measures.find(({ value, allLimit }) => value > allLimit);
  if (all !== undefined) {
    return { kind: 'sheds-all', cause: all.cause };
  }
  const trial = measures.find(({ value, trialLimit }) => value > trialLimit);
  return trial === undefined ? { kind: 'none' } : { kind: 'sheds-trial', cause: trial.cause };
};

/**
 * Tells whether an overloaded daemon turns away work of a class.
 *
 * @returns why, or nothing
 */
export const checkOverload = (
  overload: Overload,
  callerClass: CallerClass,
): Problem | undefined => {
  switch (overload.kind) {
    case 'none':
      return undefined;
    case 'sheds-trial':
      return callerClass === 'trial' ? explain(overload.cause) : undefined;
    case 'sheds-all':
      return explain(overload.cause);
    default:
      return unreachable(overload);
  }
};

const listMeasures = (reading: LoadReading): Measure[] => [
  {
    cause: 'queue time',
    value: reading.queueMs,
    trialLimit: reading.maxQueueMs * trialShareOfQueue,
    // Beyond this the expected wait of each job decides.
    allLimit: Infinity,
  },
  {
    cause: 'waiting tasks',
    value: reading.waitingTasks,
    trialLimit: trialWaitingTasks,
    allLimit: maxWaitingTasks,
  },
  {
    cause: 'event loop',
    value: reading.eventLoopDelayMs,
    trialLimit: trialEventLoopDelayMs,
    allLimit: maxEventLoopDelayMs,
  },
  {
    cause: 'memory',
    value: reading.memoryShare,
    trialLimit: trialMemoryShare,
    allLimit: maxMemoryShare,
  },
  {
    cause: 'held inputs',
    value: reading.heldInputBytes,
    trialLimit: trialHeldInputBytes,
    allLimit: maxHeldInputBytes,
  },
];

const explain = (cause: OverloadCause): Problem =>
  createProblem('overloaded', `The daemon has too much work (${cause}).`, {
    runState: 'not-run',
    retryAfterMs: shedPauseMs,
  });
