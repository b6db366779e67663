/**
 * Numbered ranges of run times; each range is a fixed factor wider than the one before.
 */
const minRunTimeMs = 0.5;
const bucketsPerDoubling = 4;

/** Number of buckets; the last one starts above ten minutes. */
export const bucketCount = 84;

/**
 * Tells the bucket of a run time.
 *
 * @param runTimeMs - in milliseconds
 */
export const bucketIndexOf = (runTimeMs: number): number => {
  const bucket = Math.floor(
    Math.log2(Math.max(runTimeMs, minRunTimeMs) / minRunTimeMs) * bucketsPerDoubling,
  );
  return Math.min(bucket, bucketCount - 1);
};

/**
 * Tells the run time in the middle of a bucket.
 *
 * @returns milliseconds
 */
export const bucketRunTimeMs = (bucket: number): number =>
  minRunTimeMs * 2 ** ((bucket + 0.5) / bucketsPerDoubling);
