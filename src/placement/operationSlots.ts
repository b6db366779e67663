/**
 * Holds the endpoints that can run one operation, in buckets by expected run time.
 */
import { IndexedSet } from '../utils/indexedSet.js';
import { bucketCount, bucketIndexOf, bucketRunTimeMs } from './runTimeBuckets.js';

/** Endpoints of one bucket, with sums over their busy slots. */
export interface Bucket<Member> {
  /** Endpoints with an idle slot. */
  readonly idle: IndexedSet<Member>;
  /** Slots with a running attempt. */
  busySlots: number;
  /** Sum of the times at which the busy slots are expected to end, in milliseconds. */
  busyEndSumMs: number;
  /** Sum of the expected run times of the running attempts, in milliseconds. */
  busyRunSumMs: number;
}

/**
 * Identifies a bucket: one of the numbered buckets by observed run time, or the bucket of endpoints
 * that have not run the operation yet.
 */
export type BucketPosition =
  { readonly kind: 'observed'; readonly index: number } | { readonly kind: 'untried' };

/** A bucket with the run times by which endpoints are chosen. */
export interface RankedBucket<Member> {
  readonly bucket: Bucket<Member>;
  /** Run time by which the bucket is ranked, in milliseconds. */
  readonly rankMs: number;
  /** Expected run time of a task, in milliseconds. */
  readonly runTimeMs: number;
}

/** Run times that stand for endpoints which have not run the operation yet. */
export interface UntriedRunTimes {
  /** Run time by which their bucket is ranked, in milliseconds. */
  readonly rankMs: number;
  /** Expected run time of a task, in milliseconds. */
  readonly runTimeMs: number;
}

/** `Member` is the type of the pool's endpoints. */
export class OperationSlots<Member> {
  private readonly observed = Array.from({ length: bucketCount }, createBucket<Member>);
  private readonly untried = createBucket<Member>();
  /** Endpoints with an idle slot that accept one task after a quarantine. */
  readonly probes = IndexedSet.create<Member>();

  private constructor() {
    // Built by create.
  }

  static create<Member>(): OperationSlots<Member> {
    return new OperationSlots<Member>();
  }

  /** Returns a bucket; throws where the index is out of range. */
  bucketAt(position: BucketPosition): Bucket<Member> {
    const bucket = position.kind === 'untried' ? this.untried : this.observed[position.index];
    if (bucket === undefined) {
      throw new Error('No run time bucket has this index.');
    }
    return bucket;
  }

  /**
   * Lists the buckets that have slots, shortest run time first.
   *
   * @param untried - run times of the endpoints that have not run the operation yet
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

/** Returns whether a bucket has an idle or a busy slot. */
const hasSlots = ({ idle, busySlots }: Bucket<unknown>): boolean => idle.size > 0 || busySlots > 0;

function createBucket<Member>(): Bucket<Member> {
  return { idle: IndexedSet.create(), busySlots: 0, busyEndSumMs: 0, busyRunSumMs: 0 };
}
