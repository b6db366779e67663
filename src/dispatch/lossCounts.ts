/**
 * Counts of the workers that were lost under a task, by what is known of each loss, and what follows from them. A task
 * that may have crashed too many workers is not started again. It has not failed: nothing proves a crash under it.
 */

/** Workers that are likely to have crashed under a task before it is not started again. */
const maxLikelyCrashes = 2;
/**
 * Workers that may have crashed under a task before it is not started again. The users allow two starts more after
 * three workers have crashed, and each start crashes one worker at most.
 */
const maxPossibleCrashes = 5;

export interface LossCounts {
  /** Workers that were silent or crashed. */
  readonly lostWorkers: number;
  /** Those that are likely to have crashed under the task. */
  readonly likelyCrashes: number;
  /** Those that may have crashed under it, the likely ones included. */
  readonly unclearLosses: number;
}

/**
 * What another daemon states of a task; earlier versions omit the optional ones, or count in `crashedWorkers` alone what
 * they took as proved.
 */
export type StatedLosses = Pick<LossCounts, 'lostWorkers'> &
  Partial<
    Readonly<
      Record<Exclude<keyof LossCounts, 'lostWorkers'> | 'crashedWorkers', number | undefined>
    >
  >;

/** What is known of the loss of a worker as a crash under a task. */
export type LossKind = 'likely' | 'unclear';
/** What an unclear loss has turned out to be; `none`: the worker has not crashed. */
export type SettledLoss = 'likely' | 'none';

/** What follows for a task from the workers that were lost under it. */
export type LossConsequence = 'may-start' | 'may-crash-workers';

export const noLosses: LossCounts = { lostWorkers: 0, likelyCrashes: 0, unclearLosses: 0 };

/** Counts the loss of a worker. */
export const addLoss = (counts: LossCounts, kind: LossKind): LossCounts => ({
  lostWorkers: counts.lostWorkers + 1,
  likelyCrashes: counts.likelyCrashes + (kind === 'likely' ? 1 : 0),
  unclearLosses: counts.unclearLosses + 1,
});

/** Counts what a loss that was unclear has turned out to be. */
export const settleLoss = (counts: LossCounts, settled: SettledLoss): LossCounts => ({
  lostWorkers: counts.lostWorkers,
  likelyCrashes: counts.likelyCrashes + (settled === 'likely' ? 1 : 0),
  unclearLosses: Math.max(counts.unclearLosses - (settled === 'likely' ? 0 : 1), 0),
});

/** Combines what two parties have counted of one task. */
export const highestLosses = (a: LossCounts, b: StatedLosses): LossCounts => {
  const { crashedWorkers = 0, likelyCrashes = 0, unclearLosses = 0 } = b;
  return {
    lostWorkers: Math.max(a.lostWorkers, b.lostWorkers),
    likelyCrashes: Math.max(a.likelyCrashes, crashedWorkers + likelyCrashes),
    unclearLosses: Math.max(a.unclearLosses, crashedWorkers + unclearLosses),
  };
};

/** @returns the counts as messages state them, which omit what they need not state */
export const toStatedLosses = ({
  lostWorkers,
  likelyCrashes,
  unclearLosses,
}: LossCounts): StatedLosses => ({
  lostWorkers,
  ...(likelyCrashes > 0 ? { likelyCrashes } : {}),
  ...(unclearLosses > 0 ? { unclearLosses } : {}),
});

/** Decides what follows for a task. */
export const consequenceOfLosses = ({
  likelyCrashes,
  unclearLosses,
}: LossCounts): LossConsequence =>
  likelyCrashes >= maxLikelyCrashes || unclearLosses >= maxPossibleCrashes
    ? 'may-crash-workers'
    : 'may-start';

/** Whether another start of a task should wait until it is known what became of some lost workers. */
export const isDecidedBy = ({ likelyCrashes }: LossCounts, awaitedLosses: number): boolean =>
  awaitedLosses > 0 && likelyCrashes + awaitedLosses >= maxLikelyCrashes;

export const areEqualLosses = (a: LossCounts, b: LossCounts): boolean =>
  a.lostWorkers === b.lostWorkers &&
  a.likelyCrashes === b.likelyCrashes &&
  a.unclearLosses === b.unclearLosses;
