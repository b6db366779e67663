/**
 * Counts of the workers that were lost under a task, by what is known of each loss, and what follows from them. Only
 * proved crashes fail a task. A task that may have crashed too many workers is not started again, but it has not failed.
 */

/** Workers that are proved to have crashed under a task before it has failed. */
export const maxCrashedWorkers = 2;
/** Workers that have crashed or are likely to have crashed under a task before it is not started again. */
const maxLikelyCrashes = 2;
/**
 * Workers that may have crashed under a task before it is not started again. The users allow two starts more after
 * three workers have crashed, and each start crashes one worker at most.
 */
const maxPossibleCrashes = 5;

export interface LossCounts {
  /** Workers that were silent or crashed. */
  readonly lostWorkers: number;
  /** Those that are proved to have crashed under the task. */
  readonly crashedWorkers: number;
  /** Those that are likely to have crashed under it. */
  readonly likelyCrashes: number;
  /** Those that may have crashed under it, the likely ones included. */
  readonly unclearLosses: number;
}

/** What another daemon states of a task; earlier versions omit the optional ones. */
export type StatedLosses = Pick<LossCounts, 'lostWorkers'> &
  Partial<Readonly<Record<Exclude<keyof LossCounts, 'lostWorkers'>, number | undefined>>>;

/** What is known of the loss of a worker as a crash under a task. */
export type LossKind = 'crashed' | 'likely' | 'unclear';
/** What an unclear loss has turned out to be; `none`: the worker has not crashed. */
export type SettledLoss = 'crashed' | 'likely' | 'none';

/** What follows for a task from the workers that were lost under it. */
export type LossConsequence = 'may-start' | 'crashes-workers' | 'may-crash-workers';

export const noLosses: LossCounts = {
  lostWorkers: 0,
  crashedWorkers: 0,
  likelyCrashes: 0,
  unclearLosses: 0,
};

/** Counts the loss of a worker. */
export const addLoss = (counts: LossCounts, kind: LossKind): LossCounts => ({
  lostWorkers: counts.lostWorkers + 1,
  crashedWorkers: counts.crashedWorkers + (kind === 'crashed' ? 1 : 0),
  likelyCrashes: counts.likelyCrashes + (kind === 'likely' ? 1 : 0),
  unclearLosses: counts.unclearLosses + (kind === 'crashed' ? 0 : 1),
});

/** Counts what a loss that was unclear has turned out to be. */
export const settleLoss = (counts: LossCounts, settled: SettledLoss): LossCounts => ({
  lostWorkers: counts.lostWorkers,
  crashedWorkers: counts.crashedWorkers + (settled === 'crashed' ? 1 : 0),
  likelyCrashes: counts.likelyCrashes + (settled === 'likely' ? 1 : 0),
  unclearLosses: Math.max(counts.unclearLosses - (settled === 'likely' ? 0 : 1), 0),
});

/** Combines what two parties have counted of one task. */
export const highestLosses = (a: LossCounts, b: StatedLosses): LossCounts => ({
  lostWorkers: Math.max(a.lostWorkers, b.lostWorkers),
  crashedWorkers: Math.max(a.crashedWorkers, b.crashedWorkers ?? 0),
  likelyCrashes: Math.max(a.likelyCrashes, b.likelyCrashes ?? 0),
  unclearLosses: Math.max(a.unclearLosses, b.unclearLosses ?? 0),
});

/** @returns the counts as messages state them, which omit what they need not state */
export const toStatedLosses = ({
  lostWorkers,
  crashedWorkers,
  likelyCrashes,
  unclearLosses,
}: LossCounts): StatedLosses => ({
  lostWorkers,
  crashedWorkers,
  ...(likelyCrashes > 0 ? { likelyCrashes } : {}),
  ...(unclearLosses > 0 ? { unclearLosses } : {}),
});

/** Decides what follows for a task. */
export const consequenceOfLosses = ({
  crashedWorkers,
  likelyCrashes,
  unclearLosses,
}: LossCounts): LossConsequence => {
  if (crashedWorkers >= maxCrashedWorkers) {
    return 'crashes-workers';
  }
  return crashedWorkers + likelyCrashes >= maxLikelyCrashes ||
    crashedWorkers + unclearLosses >= maxPossibleCrashes
    ? 'may-crash-workers'
    : 'may-start';
};

/** Whether another start of a task should wait until it is known what became of some lost workers. */
export const isDecidedBy = (
  { crashedWorkers, likelyCrashes }: LossCounts,
  awaitedLosses: number,
): boolean =>
  awaitedLosses > 0 && crashedWorkers + likelyCrashes + awaitedLosses >= maxLikelyCrashes;

export const areEqualLosses = (a: LossCounts, b: LossCounts): boolean =>
  a.lostWorkers === b.lostWorkers &&
  a.crashedWorkers === b.crashedWorkers &&
  a.likelyCrashes === b.likelyCrashes &&
  a.unclearLosses === b.unclearLosses;
