/**
 * Numbered ranges of run times; the bounds grow by a fixed factor from one range to the next.
 */

/** Lower bound of the first bucket. */
const minRunTimeMs = 0.5;
const bucketsPerDoubling = 4;

/** Number of buckets; the last one starts above ten minutes. */
export const bucketCount = 84;

/**
 * Returns the index of the bucket that a run time falls into.
 *
 * @param runTimeMs - the run time, in milliseconds; out of range, the nearest bucket is returned
 */
export const bucketIndexOf = (runTimeMs: number): number => {
  const index = Math.floor(
    Math.log2(Math.max(runTimeMs, minRunTimeMs) / minRunTimeMs) * bucketsPerDoubling,
  );
  return Math.min(index, bucketCount - 1);
};

/**
 * Returns the run time that represents a bucket: its geometric middle, in milliseconds.
 *
 * @param index - index of the bucket
 */
export const bucketRunTimeMs = (index: number): number =>
  minRunTimeMs * 2 ** ((index + 0.5) / bucketsPerDoubling);
