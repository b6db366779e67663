/**
 * The workers to which this daemon dispatches: those of its failure domain in the shards that the store has
 * granted to it, and those of shards that it has lost, until the daemon that got them asks for them.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { HeldWorker } from '../dispatch/workerViews.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { ShardGrant } from '../types/fleet.js';
import type { WorkerRecord } from '../types/workers.js';
import type { WorkerDirectory } from '../workers/workerDirectory.js';
import { workersOfShards } from './shardMembership.js';
import { divideWorkers } from './workerClaims.js';
import type { Division, WorkerClaims } from './workerClaims.js';

/** Period in which the claims of other daemons are looked at while workers change hands, in milliseconds. */
const claimCheckMs = 20;
/**
 * Longest time for which a released worker counts as changing hands, in milliseconds; usually it takes 0.1 s. After that
 * further workers are released.
 */
const maxTakeOverMs = 500;
/**
 * Time after its start in which a daemon waits for the heartbeats of daemons that it has not heard yet, in milliseconds:
 * it would otherwise take over workers that one of them dispatches to, and stop the runs there.
 */
const peerDiscoveryMs = 300;

export interface ServedWorkersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Failure domain of this daemon. */
  readonly failureDomainId: string;
  /** Number of shards of the failure domain. */
  readonly shardCount: number;
  readonly directory: WorkerDirectory;
  readonly dispatcher: Dispatcher;
  /** Returns what the other daemons of the failure domain claim now. */
  readonly claims: () => WorkerClaims;
  /** Whether daemons of the failure domain are listed that were not heard yet. */
  readonly hasUnheardPeers: () => boolean;
  /** Called when the other daemons should hear at once what this one claims. */
  readonly onNews: () => void;
}

export class ServedWorkers {
  private grant: ShardGrant = { generation: 0, shards: [] };
  private listed: readonly WorkerRecord[] = [];
  private granted: readonly WorkerRecord[] = [];
  /** Set once no worker is kept any more: resolves when all workers are released. */
  private releasing: Promise<void> | undefined;
  /** Until when a daemon that leaves keeps workers that nobody asks for, in monotonic time. */
  private keepUntilMs: number | undefined;
  private readonly awaitedSinceMs = new Map<string, number>();
  private releasingIds: ReadonlySet<string> = new Set();
  /** Workers that were neither granted nor released at the last check. */
  private ungrantedIds: ReadonlySet<string> = new Set();
  /** When workers were released that no other daemon is known to have taken over, in monotonic time. */
  private readonly unclaimedSinceMs = new Map<string, number>();
  /** When workers were taken over that were waited for and that accept no tasks here yet, in monotonic time. */
  private readonly takingSinceMs = new Map<string, number>();
  /** Identifies what the dispatcher was given last; undefined if that has to be given again. */
  private lastAssignment: string | undefined;
  private isFollowing = false;
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly createdAtMs: number;

  private constructor(private readonly options: ServedWorkersOptions) {
    this.logger = options.logger.forPart('hand-over');
    this.createdAtMs = options.clock.nowMs();
  }

  static create(options: ServedWorkersOptions): ServedWorkers {
    return new ServedWorkers(options);
  }

  /** Whether the other daemons ask for workers, so that this one can go on until they do. */
  get canYield(): boolean {
    return this.options.claims().doAllAsk;
  }

  /** @returns the workers that are assigned to this daemon and that another one has not released yet */
  listAwaited(): string[] {
    return [...this.awaitedSinceMs.keys()];
  }

  /**
   * Dispatches to the workers of the granted shards from now on, unless this daemon leaves.
   *
   * @returns a promise that resolves when the other workers are released, or can be kept until they are asked for; while
   *   this daemon leaves, when all are released
   */
  applyGrant(grant: ShardGrant): Promise<unknown> {
    this.grant = grant;
    return this.update();
  }

  /**
   * Applies a change of the listed workers.
   *
   * @returns a promise that resolves as that of `applyGrant`
   */
  update(): Promise<unknown> {
    if (this.releasing !== undefined) {
      return this.releasing;
    }
    const { directory, dispatcher, failureDomainId, shardCount } = this.options;
    const all = directory.list();
    dispatcher.recordEntries(all);
    this.listed = all.filter((worker) => worker.failureDomainId === failureDomainId);
    const shards = this.keepUntilMs === undefined ? this.grant.shards : [];
    this.granted = workersOfShards(this.listed, shards, shardCount);
    this.lastAssignment = undefined;
    return this.assign();
  }

  /**
   * Keeps dispatching, and releases each worker when another daemon asks for it, all at a time at the latest.
   *
   * @param untilMs - that time, in monotonic time
   * @returns a promise that resolves when all workers are released
   */
  async yieldAll(untilMs: number): Promise<void> {
    const { clock, dispatcher } = this.options;
    this.keepUntilMs = untilMs;
    void this.update();
    while (
      dispatcher.listHeldWorkers().length > 0 &&
      clock.nowMs() < untilMs &&
      !this.stop.signal.aborted
    ) {
      await clock.sleep(claimCheckMs, this.stop.signal);
    }
    await this.release();
  }

  /**
   * Serves no worker from now on, whatever the store grants.
   *
   * @returns a promise that resolves when all workers are released
   */
  release(): Promise<void> {
    this.awaitedSinceMs.clear();
    this.takingSinceMs.clear();
    this.releasing ??= this.options.dispatcher.setWorkers([], this.grant.generation);
    return this.releasing;
  }

  /** Looks at what the other daemons claim, if workers change hands. To be called with each heartbeat. */
  checkClaims(): void {
    if (this.isChanging()) {
      void this.assign();
    }
  }

  /** Looks at no claims any more. */
  close(): void {
    this.stop.abort();
  }

  /** Gives the dispatcher its workers as far as other daemons have released them. */
  private assign(): Promise<unknown> {
    const { clock, dispatcher, claims, hasUnheardPeers } = this.options;
    const { listed, granted, awaitedSinceMs, releasingIds } = this;
    const nowMs = clock.nowMs();
    const known = claims();
    const held = dispatcher.listHeldWorkers();
    this.recordTaken(known, held);
    const unclaimedCount = this.unclaimedSinceMs.size;
    const division = divideWorkers({
      ...{ listed, granted, held, claims: known, awaitedSinceMs, releasingIds, unclaimedCount },
      nowMs,
      mayKeep: known.doAllAsk,
      isDiscoveringPeers: nowMs - this.createdAtMs < peerDiscoveryMs && hasUnheardPeers(),
    });
    const { served, kept } = division;
    const keptIds = new Set(kept.map(({ workerId }) => workerId));
    const grantedIds = new Set(granted.map(({ workerId }) => workerId));
    const ungranted = held.filter(({ workerId }) => !grantedIds.has(workerId));
    this.recordDivision(division, new Set(ungranted.map(({ workerId }) => workerId)));
    void this.followClaims();
    const assignment = [...served, ...kept].map(({ workerId }) => workerId).join();
    if (assignment === this.lastAssignment) {
      return Promise.resolve();
    }
    this.lastAssignment = assignment;
    const released = dispatcher.setWorkers([...served, ...kept], this.grant.generation, keptIds);
    void released.then(() => this.checkClaims());
    return known.doAllAsk ? Promise.resolve() : released;
  }

  /** Records which workers accept tasks by now, here and at the daemons that they were released to. */
  private recordTaken({ heldIds }: WorkerClaims, held: readonly HeldWorker[]): void {
    const nowMs = this.options.clock.nowMs();
    for (const [id, sinceMs] of this.unclaimedSinceMs) {
      if (heldIds.has(id) || nowMs - sinceMs >= maxTakeOverMs) {
        this.unclaimedSinceMs.delete(id);
      }
    }
    const served = new Set(held.flatMap((one) => (one.isServing ? [one.workerId] : [])));
    for (const [id, sinceMs] of this.takingSinceMs) {
      if (served.has(id) || nowMs - sinceMs >= maxTakeOverMs) {
        this.takingSinceMs.delete(id);
        this.options.onNews();
      }
    }
  }

  /** Records what is waited for and released, and tells the other daemons what is new to them. */
  private recordDivision(division: Division, ungrantedIds: ReadonlySet<string>): void {
    const { clock, metrics, onNews } = this.options;
    const awaitedIds = new Set(division.awaitedIds);
    const newlyAwaited = division.awaitedIds.filter((id) => !this.awaitedSinceMs.has(id));
    const newlyReleasing = division.releasingIds.filter((id) => !this.releasingIds.has(id));
    const gone = [...this.ungrantedIds].filter((id) => !ungrantedIds.has(id));
    for (const id of [...this.awaitedSinceMs.keys()].filter((one) => !awaitedIds.has(one))) {
      this.awaitedSinceMs.delete(id);
      this.takingSinceMs.set(id, clock.nowMs());
    }
    gone.forEach((id) => this.unclaimedSinceMs.set(id, clock.nowMs()));
    newlyAwaited.forEach((id) => this.awaitedSinceMs.set(id, clock.nowMs()));
    this.releasingIds = new Set(division.releasingIds);
    this.ungrantedIds = ungrantedIds;
    if (newlyAwaited.length > 0) {
      this.logger.info('Workers that another daemon has are waited for.', {
        count: newlyAwaited.length,
      });
    }
    for (const workerId of newlyReleasing) {
      this.logger.info('A worker is handed over.', { workerId });
    }
    metrics.count('workers_handed_over', gone.length);
    if (newlyAwaited.length > 0 || newlyReleasing.length > 0 || gone.length > 0) {
      onNews();
    }
  }

  /** Looks at the claims of other daemons until no worker changes hands any more. */
  private async followClaims(): Promise<void> {
    if (this.isFollowing) {
      return;
    }
    this.isFollowing = true;
    while (this.isChanging()) {
      await this.options.clock.sleep(claimCheckMs, this.stop.signal);
      this.checkClaims();
    }
    this.isFollowing = false;
  }

  /** Whether workers change hands that are not all released for good. */
  private isChanging(): boolean {
    const { awaitedSinceMs, ungrantedIds, takingSinceMs, unclaimedSinceMs } = this;
    const isPending =
      awaitedSinceMs.size + ungrantedIds.size + takingSinceMs.size + unclaimedSinceMs.size > 0;
    return isPending && this.releasing === undefined && !this.stop.signal.aborted;
  }
}
