/**
 * The workers that were lost under a task, by what is known of each loss, and what follows from them. A task that may have
 * crashed too many workers is not started again. It has not failed: nothing proves a crash under it.
 *
 * Losses are a set that daemons join by union, in which the status of a loss only rises. Joining is the same in any
 * order and however often, so that what one daemon counts adds to what another one does.
 */
import type { LossStatus, StatedLosses, TaskLoss } from '../types/losses.js';

/** Workers that are likely to have crashed under a task before it is not started again. */
const maxLikelyCrashes = 2;
/**
 * Workers that may have crashed under a task before it is not started again. The users allow two starts more after
 * three workers have crashed, and each start crashes one worker at most.
 */
const maxPossibleCrashes = 5;
/** Workers that may have crashed under a task after which every further start counts, whatever has become of it. */
const maxFreeCrashes = 3;
/** Losses that are kept of one task: enough to decide, and some of which it is known that they are none. */
const maxLosses = 12;

const ranks: Readonly<Record<LossStatus, number>> = { awaited: 0, unclear: 1, likely: 2, none: 3 };
/** Which losses are kept if there are too many, the first ones first. */
const keptOrder: Readonly<Record<LossStatus, number>> = {
  likely: 0,
  unclear: 1,
  awaited: 1,
  none: 2,
};

export interface LossCounts {
  /** Workers that were silent or crashed. */
  readonly lostWorkers: number;
  /** Those that are likely to have crashed under the task. */
  readonly likelyCrashes: number;
  /** Those that may have crashed under it, the likely ones included. */
  readonly unclearLosses: number;
}

export interface TaskLosses {
  /** Status of each loss, by the identifier of the loss. */
  readonly known: ReadonlyMap<string, LossStatus>;
  /** What daemons of earlier versions have counted, which state no single losses. */
  readonly counted: LossCounts;
}

/** What follows for a task from the workers that were lost under it. */
export type LossConsequence = 'may-start' | 'may-crash-workers';

const noCounts: LossCounts = { lostWorkers: 0, likelyCrashes: 0, unclearLosses: 0 };

export const noLosses: TaskLosses = { known: new Map(), counted: noCounts };

/** Combines what two parties know of one task. */
export const joinLosses = (a: TaskLosses, b: TaskLosses): TaskLosses => {
  const known = new Map(a.known);
  for (const [id, status] of b.known) {
    const before = known.get(id);
    known.set(id, before === undefined || ranks[status] > ranks[before] ? status : before);
  }
  return { known: limitLosses(known), counted: highestCounts(a.counted, b.counted) };
};

/** Adds a loss, or what it has turned out to be. */
export const addLoss = (losses: TaskLosses, { id, status }: TaskLoss): TaskLosses =>
  joinLosses(losses, { known: new Map([[id, status]]), counted: noCounts });

/** Counts the losses of a task. */
export const countLosses = ({ known, counted }: TaskLosses): LossCounts =>
  highestCounts(countKnown(known), counted);

/** Whether workers were lost under a task, what became of them included. */
export const hasLosses = ({ known, counted }: TaskLosses): boolean =>
  known.size > 0 || counted.lostWorkers > 0;

/** Whether so many workers may have crashed under a task that every further start of it counts. */
export const countsEveryStart = (losses: TaskLosses): boolean =>
  countLosses(losses).unclearLosses >= maxFreeCrashes;

/** Decides what follows for a task. */
export const consequenceOfLosses = (losses: TaskLosses): LossConsequence => {
  const { lostWorkers, likelyCrashes, unclearLosses } = countLosses(losses);
  const countedLosses = countsEveryStart(losses) ? lostWorkers : unclearLosses;
  return likelyCrashes >= maxLikelyCrashes || countedLosses >= maxPossibleCrashes
    ? 'may-crash-workers'
    : 'may-start';
};

/** Whether another start of a task should wait until it is known what became of the workers that are awaited. */
export const isDecidedByAwaited = (losses: TaskLosses): boolean => {
  const awaited = [...losses.known.values()].filter((status) => status === 'awaited').length;
  return awaited > 0 && countLosses(losses).likelyCrashes + awaited >= maxLikelyCrashes;
};

/** Whether a party that knows one thing of a task learns nothing from another. */
export const areEqualLosses = (a: TaskLosses, b: TaskLosses): boolean =>
  a.known.size === b.known.size &&
  [...a.known].every(([id, status]) => b.known.get(id) === status) &&
  areEqualCounts(a.counted, b.counted);

/** @returns the losses as messages state them, with the counts that earlier versions read */
export const toStatedLosses = (losses: TaskLosses): StatedLosses => {
  const { lostWorkers, likelyCrashes, unclearLosses } = countLosses(losses);
  const known = [...losses.known].map(([id, status]) => ({ id, status }));
  return {
    lostWorkers,
    ...(likelyCrashes > 0 ? { likelyCrashes } : {}),
    ...(unclearLosses > 0 ? { unclearLosses } : {}),
    ...(known.length > 0 ? { losses: known } : {}),
  };
};

/** Reads the losses of a message. What it counts beyond those that it lists, an earlier version has counted. */
export const fromStatedLosses = (stated: StatedLosses): TaskLosses => {
  const { lostWorkers, crashedWorkers = 0, likelyCrashes = 0, unclearLosses = 0 } = stated;
  const listed = (stated.losses ?? []).reduce(addLoss, noLosses);
  const counted = {
    lostWorkers,
    likelyCrashes: crashedWorkers + likelyCrashes,
    unclearLosses: crashedWorkers + unclearLosses,
  };
  const ofListed = countLosses(listed);
  return areEqualCounts(highestCounts(counted, ofListed), ofListed)
    ? listed
    : { known: listed.known, counted };
};

const countKnown = (known: TaskLosses['known']): LossCounts => {
  const statuses = [...known.values()];
  const likelyCrashes = statuses.filter((status) => status === 'likely').length;
  const unclearLosses = statuses.filter((status) => status !== 'none').length;
  return { lostWorkers: statuses.length, likelyCrashes, unclearLosses };
};

const highestCounts = (a: LossCounts, b: LossCounts): LossCounts => ({
  lostWorkers: Math.max(a.lostWorkers, b.lostWorkers),
  likelyCrashes: Math.max(a.likelyCrashes, b.likelyCrashes),
  unclearLosses: Math.max(a.unclearLosses, b.unclearLosses),
});

const areEqualCounts = (a: LossCounts, b: LossCounts): boolean =>
  a.lostWorkers === b.lostWorkers &&
  a.likelyCrashes === b.likelyCrashes &&
  a.unclearLosses === b.unclearLosses;

/** Keeps the losses that decide, in an order that does not depend on who has told of them. */
const limitLosses = (known: ReadonlyMap<string, LossStatus>): TaskLosses['known'] =>
  known.size <= maxLosses
    ? known
    : new Map(
        [...known]
          .sort(([idA, a], [idB, b]) => keptOrder[a] - keptOrder[b] || (idA < idB ? -1 : 1))
          .slice(0, maxLosses),
      );
