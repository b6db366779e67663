/**
 * The endpoints that can run one operation, in buckets by expected run time.
 */
import { IndexedSet } from '../utils/indexedSet.js';
import { bucketCount, bucketOf, runTimeOf } from './runTimeBuckets.js';
import type { PooledEndpoint } from './pooledEndpoint.js';

/** Endpoints of one bucket. */
export interface Bucket {
  /** Endpoints with an idle slot. */
  readonly idle: IndexedSet<PooledEndpoint>;
  busySlots: number;
  /** Sum of the times at which the busy slots are expected to end, in milliseconds. */
  busyEndSumMs: number;
  /** Sum of the expected run times of what runs, in milliseconds. */
  busyRunSumMs: number;
}

/** Where an endpoint stands: a bucket by observed run time, or the endpoints not tried yet. */
export type BucketPlace =
  { readonly kind: 'observed'; readonly index: number } | { readonly kind: 'untried' };

/** A bucket in the order of choice. */
export interface FoundBucket {
  readonly bucket: Bucket;
  /** Run time by which the bucket is ranked, in milliseconds. */
  readonly rankMs: number;
  /** Expected run time of a task, in milliseconds. */
  readonly runTimeMs: number;
}

/** Run times of endpoints that were not tried yet. */
export interface UntriedRunTimes {
  readonly rankMs: number;
  readonly runTimeMs: number;
}

export class OperationSlots {
  private readonly observed = Array.from({ length: bucketCount }, createBucket);
  private readonly untried = createBucket();
  /** Endpoints out of quarantine for one task. */
  readonly probes = IndexedSet.create<PooledEndpoint>();

  private constructor() {
    // Built by create.
  }

  static create(): OperationSlots {
    return new OperationSlots();
  }

  at(place: BucketPlace): Bucket {
    const bucket = place.kind === 'untried' ? this.untried : this.observed[place.index];
    if (bucket === undefined) {
      throw new Error('There is no such bucket.');
    }
    return bucket;
  }

  /**
   * Lists the buckets with slots in the order of choice.
   *
   * @param untried - where the endpoints stand that were not tried yet
   */
  *inOrder(untried: UntriedRunTimes): Generator<FoundBucket> {
    const untriedIndex = bucketOf(untried.rankMs);
    for (const [index, bucket] of this.observed.entries()) {
      if (index === untriedIndex && hasSlots(this.untried)) {
        yield { bucket: this.untried, ...untried };
      }
      if (hasSlots(bucket)) {
        const runTimeMs = runTimeOf(index);
        yield { bucket, rankMs: runTimeMs, runTimeMs };
      }
    }
  }
}

const hasSlots = ({ idle, busySlots }: Bucket): boolean => idle.size > 0 || busySlots > 0;

function createBucket(): Bucket {
  return { idle: IndexedSet.create(), busySlots: 0, busyEndSumMs: 0, busyRunSumMs: 0 };
}
