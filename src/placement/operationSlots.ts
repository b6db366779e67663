/**
 * The endpoints that can run one operation, in buckets by expected run time.
 */
import { IndexedSet } from '../utils/indexedSet.js';
import { bucketCount, runTimeOf } from './runTimeBuckets.js';
import type { PooledEndpoint } from './pooledEndpoint.js';

/** Endpoints of one bucket. */
export interface Bucket {
  /** Endpoints with an idle slot. */
  readonly idle: IndexedSet<PooledEndpoint>;
  busySlots: number;
  /** Sum of the times at which the busy slots are expected to end, in milliseconds. */
  busyEndSumMs: number;
}

/** Where an endpoint stands: a bucket by observed run time, or the endpoints not tried yet. */
export type BucketPlace =
  { readonly kind: 'observed'; readonly index: number } | { readonly kind: 'untried' };

/** The bucket that a choice found. */
export interface FoundBucket {
  readonly bucket: Bucket;
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
   * Lists the buckets by run time; endpoints not tried yet stand where a typical one would.
   *
   * @param untriedIndex - bucket of the typical run time
   */
  *inOrder(untriedIndex: number): Generator<FoundBucket> {
    for (const [index, bucket] of this.observed.entries()) {
      if (index === untriedIndex && hasSlots(this.untried)) {
        yield { bucket: this.untried, runTimeMs: runTimeOf(index) };
      }
      if (hasSlots(bucket)) {
        yield { bucket, runTimeMs: runTimeOf(index) };
      }
    }
  }
}

const hasSlots = ({ idle, busySlots }: Bucket): boolean => idle.size > 0 || busySlots > 0;

function createBucket(): Bucket {
  return { idle: IndexedSet.create(), busySlots: 0, busyEndSumMs: 0 };
}
