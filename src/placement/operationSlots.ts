/**
 * The endpoints that can run one operation, in buckets by expected run time.
 */
import { IndexedSet } from '../utils/indexedSet.js';
import { bucketCount, bucketIndexOf, bucketRunTimeMs } from './runTimeBuckets.js';

/** Endpoints of one bucket. */
export interface Bucket<Member> {
  /** Endpoints with an idle slot. */
  readonly idle: IndexedSet<Member>;
  busySlots: number;
  /** Sum of the times at which the busy slots are expected to end, in milliseconds. */
  busyEndSumMs: number;
  /** Sum of the expected run times of what runs, in milliseconds. */
  busyRunSumMs: number;
}

/** Where an endpoint stands: a bucket by observed run time, or the endpoints not tried yet. */
export type BucketPosition =
  { readonly kind: 'observed'; readonly index: number } | { readonly kind: 'untried' };

/** A bucket in the order of choice. */
export interface RankedBucket<Member> {
  readonly bucket: Bucket<Member>;
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

/** `Member`: an endpoint of the pool. */
export class OperationSlots<Member> {
  private readonly observed = Array.from({ length: bucketCount }, createBucket<Member>);
  private readonly untried = createBucket<Member>();
  /** Endpoints out of quarantine for one task. */
  readonly probes = IndexedSet.create<Member>();

  private constructor() {
    // Built by create.
  }

  static create<Member>(): OperationSlots<Member> {
    return new OperationSlots<Member>();
  }

  bucketAt(place: BucketPosition): Bucket<Member> {
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
  *bucketsByRank(untried: UntriedRunTimes): Generator<RankedBucket<Member>> {
    const untriedIndex = bucketIndexOf(untried.rankMs);
    for (const [index, bucket] of this.observed.entries()) {
      if (index === untriedIndex && hasSlots(this.untried)) {
        yield { bucket: this.untried, ...untried };
      }
      if (hasSlots(bucket)) {
        const runTimeMs = bucketRunTimeMs(index);
        yield { bucket, rankMs: runTimeMs, runTimeMs };
      }
    }
  }
}

const hasSlots = ({ idle, busySlots }: Bucket<unknown>): boolean => idle.size > 0 || busySlots > 0;

function createBucket<Member>(): Bucket<Member> {
  return { idle: IndexedSet.create(), busySlots: 0, busyEndSumMs: 0, busyRunSumMs: 0 };
}
