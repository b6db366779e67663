/**
 * Judges what the lifetime that answers at a worker's address tells of a run that an earlier one may have had: whether
 * the worker is likely to have crashed under it. Nothing proves that. A lifetime may have ended after the run's lease, and
 * within the lease the run may have come to an end of which nobody heard.
 */
import { unreachable } from '../errors/unreachable.js';
import type { ActiveRun } from './activeRun.js';
import type { AnsweringLifetime } from './workerLifetime.js';

/** What is known of the end of the lifetime in which a run began. */
export type LifetimeEnd =
  /** It has not ended: the worker has not crashed. */
  | { readonly kind: 'none' }
  /** Likely by a crash under the run. */
  | {
      readonly kind: 'likely-under-run';
      readonly sign: CrashSign;
      readonly beforeLeaseEndMs: number;
    }
  /** Nothing tells whether it ended before or after the run did. */
  | { readonly kind: 'unclear'; readonly afterLeaseEndMs: number | undefined };

/**
 * What makes a crash under a run likely, while an acknowledged lease covers the run:
 * - `early-restart`: a later lifetime began before the run was expected to end, so that it can hardly have ended unheard.
 * - `broken-connection`: a connection broke on which the end of the run would have been heard, and the lifetime has not
 *   answered since. A cut can reset connections too, and the worker can crash behind it.
 */
export type CrashSign = 'early-restart' | 'broken-connection';

/** Whether the earlier lifetime of a worker was expected to end. */
export type Departure = 'crash' | 'expected';

/**
 * How the lifetime in which a run began has ended: by a crash that is likely to have been under the run, at an unclear
 * time, or as expected.
 */
export type RunDeparture = 'likely-crash' | 'unclear' | 'expected';

/** What a report tells of the lifetime that it is of, and of an earlier one. */
interface LaterReport {
  /** Start of the lifetime, if it is stated. */
  readonly lifetimeMs: number | undefined;
  /** Earliest and latest start of the lifetime, in monotonic time. */
  readonly earliestStartMs: number;
  readonly latestStartMs: number;
  /** Whether an earlier lifetime was expected to end. */
  readonly departure: Departure;
}

/** What is known of a run of an earlier lifetime. */
export type CoveredRun = Pick<
  ActiveRun,
  | 'startSentAtMs'
  | 'expectedMs'
  | 'startedAtMs'
  | 'lifetimeMs'
  | 'coveredUntilMs'
  | 'disconnectedAtMs'
>;

/** Judges the end of the lifetime in which a run began by the one that answers now. */
export const judgeLifetimeEnd = (run: CoveredRun, answering: AnsweringLifetime): LifetimeEnd => {
  switch (answering.kind) {
    case 'replaced':
      return judgeDisconnection(run, undefined);
    case 'reported': {
      const { latestStartMs } = answering;
      if (isSameLifetime(run, answering)) {
        return { kind: 'none' };
      }
      if (!isLater(run, answering)) {
        return { kind: 'unclear', afterLeaseEndMs: undefined };
      }
      const beforeLeaseEndMs = run.coveredUntilMs - latestStartMs;
      return beforeLeaseEndMs > 0 && latestStartMs < expectedEndMs(run)
        ? { kind: 'likely-under-run', sign: 'early-restart', beforeLeaseEndMs }
        : judgeDisconnection(run, -beforeLeaseEndMs);
    }
    default:
      return unreachable(answering);
  }
};

/** Judges how the earlier lifetime of a worker has ended that a run began in. */
export const judgeDeparture = (
  run: ActiveRun,
  { lifetimeMs, earliestStartMs, latestStartMs, departure }: LaterReport,
): RunDeparture => {
  if (departure === 'expected') {
    return departure;
  }
  const end = judgeLifetimeEnd(run, {
    kind: 'reported',
    startedAtMs: lifetimeMs,
    earliestStartMs,
    latestStartMs,
  });
  switch (end.kind) {
    case 'likely-under-run':
      return 'likely-crash';
    case 'none':
    case 'unclear':
      return 'unclear';
    default:
      return unreachable(end);
  }
};

const judgeDisconnection = (
  { coveredUntilMs, disconnectedAtMs }: CoveredRun,
  afterLeaseEndMs: number | undefined,
): LifetimeEnd =>
  disconnectedAtMs === undefined
    ? { kind: 'unclear', afterLeaseEndMs }
    : {
        kind: 'likely-under-run',
        sign: 'broken-connection',
        beforeLeaseEndMs: coveredUntilMs - disconnectedAtMs,
      };

/** Earliest expected end of a run, in monotonic time. */
const expectedEndMs = ({ startSentAtMs, expectedMs }: CoveredRun): number =>
  startSentAtMs + expectedMs;

/** Whether the lifetime that answers is certainly the one in which a run began. */
const isSameLifetime = (
  { lifetimeMs, startSentAtMs }: CoveredRun,
  { startedAtMs, latestStartMs }: Extract<AnsweringLifetime, { kind: 'reported' }>,
): boolean =>
  lifetimeMs === undefined ? latestStartMs < startSentAtMs : startedAtMs === lifetimeMs;

/** Whether the lifetime that answers has certainly begun after a run was accepted by an earlier one. */
const isLater = (
  { lifetimeMs, startedAtMs: acceptedAtMs }: CoveredRun,
  { earliestStartMs }: Extract<AnsweringLifetime, { kind: 'reported' }>,
): boolean =>
  lifetimeMs !== undefined || (acceptedAtMs !== undefined && acceptedAtMs < earliestStartMs);
