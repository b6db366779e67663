/**
 * The workers that the store lists. One async function reads the changes.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetStore, WorkerChange } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import { unreachable } from '../errors/unreachable.js';
import { fitsInto } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import { Dependency } from '../utils/dependency.js';
import type { WorkerRecord } from '../types/workers.js';

const readPeriodMs = 1_000;
/** An entry that lapsed while the store was away is back within two seconds of its return. */
const removalDelayMs = 2_500;

export interface WorkerDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: FleetStore;
  /** Called when a worker has come, gone or changed. */
  readonly onChange: () => void;
}

export class WorkerDirectory {
  private readonly workers = new Map<string, WorkerRecord>();
  /** When the entries went that are missing now, by worker. */
  private readonly missingSinceMs = new Map<string, number>();
  private readonly unreadable = new Set<string>();
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly dependency: Dependency;
  private nextOffset: number | undefined;
  private readonly following: Promise<void>;

  private constructor(private readonly options: WorkerDirectoryOptions) {
    this.logger = options.logger.forPart('workers');
    this.dependency = Dependency.create('worker entries in the store', this.logger, options.clock);
    this.following = this.follow();
  }

  static create(options: WorkerDirectoryOptions): WorkerDirectory {
    return new WorkerDirectory(options);
  }

  get(workerId: string): WorkerRecord | undefined {
    return this.workers.get(workerId);
  }

  /** @returns every listed worker */
  list(): WorkerRecord[] {
    return [...this.workers.values()];
  }

  /**
   * Tells whether any worker of a service is large enough, and has the label, whatever runs there.
   *
   * @returns nothing while no worker of the service is listed
   */
  canEverRun(serviceId: string, needs: Resources, label: string | undefined): boolean | undefined {
    const ofService = this.list().filter((worker) => worker.serviceId === serviceId);
    if (ofService.length === 0) {
      return undefined;
    }
    return ofService.some(
      ({ capacity, labels }) =>
        fitsInto(needs, capacity) && (label === undefined || labels.includes(label)),
    );
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.race([this.following, this.options.clock.sleep(0)]);
  }

  private async follow(): Promise<void> {
    const { clock } = this.options;
    while (!this.stop.signal.aborted) {
      await this.readOnce();
      if (this.dropMissing()) {
        this.options.onChange();
      }
      await clock.sleep(readPeriodMs, this.stop.signal);
    }
  }

  private async readOnce(): Promise<void> {
    const { store } = this.options;
    const isWhole = this.nextOffset === undefined;
    const reading =
      this.nextOffset === undefined
        ? await store.listWorkers()
        : await store.readWorkerChanges(this.nextOffset);
    if (reading.isErr()) {
      this.dependency.noteLost(reading.error.detail);
      return;
    }
    this.dependency.noteReached();
    this.nextOffset = reading.value?.nextOffset;
    if (reading.value === undefined) {
      await this.readOnce();
      return;
    }
    if (isWhole) {
      this.markUnlisted(reading.value.changes);
    }
    const hasChanged = reading.value.changes.filter((change) => this.apply(change)).length > 0;
    if (hasChanged) {
      this.options.onChange();
    }
  }

  /** Marks the workers that a whole list does not name. */
  private markUnlisted(changes: readonly WorkerChange[]): void {
    const listed = new Set(
      changes.flatMap((change) => (change.kind === 'listed' ? [change.worker.workerId] : [])),
    );
    for (const workerId of this.workers.keys()) {
      if (!listed.has(workerId)) {
        this.noteMissing(workerId);
      }
    }
  }

  /** @returns whether what the worker says of itself has changed */
  private apply(change: WorkerChange): boolean {
    switch (change.kind) {
      case 'listed':
        return this.noteListed(change.worker);
      case 'removed':
        this.noteMissing(change.workerId);
        return false;
      case 'unreadable':
        this.noteUnreadable(change.workerId, change.reason);
        return false;
      default:
        return unreachable(change);
    }
  }

  private noteListed(worker: WorkerRecord): boolean {
    const { workerId } = worker;
    this.missingSinceMs.delete(workerId);
    const known = this.workers.get(workerId);
    if (known !== undefined && isSameRecord(known, worker)) {
      return false;
    }
    this.workers.set(workerId, worker);
    this.logger.info(known === undefined ? 'A worker is listed.' : 'A worker has changed.', {
      workerId,
      state: worker.state,
    });
    return true;
  }

  private noteMissing(workerId: string): void {
    if (this.workers.has(workerId) && !this.missingSinceMs.has(workerId)) {
      this.missingSinceMs.set(workerId, this.options.clock.nowMs());
    }
  }

  /** Logs each faulty entry once; it names no worker. */
  private noteUnreadable(workerId: string, reason: string): void {
    if (!this.unreadable.has(workerId)) {
      this.unreadable.add(workerId);
      this.logger.warn('An entry names no worker.', { workerId, reason });
    }
  }

  private dropMissing(): boolean {
    const nowMs = this.options.clock.nowMs();
    const gone = [...this.missingSinceMs].filter(
      ([, sinceMs]) => !this.dependency.isLost && nowMs - sinceMs >= removalDelayMs,
    );
    for (const [workerId] of gone) {
      this.missingSinceMs.delete(workerId);
      this.workers.delete(workerId);
      this.logger.info('A worker is gone.', { workerId });
    }
    return gone.length > 0;
  }
}

const isSameRecord = (a: WorkerRecord, b: WorkerRecord): boolean =>
  a.address === b.address &&
  a.bornAtMs === b.bornAtMs &&
  a.state === b.state &&
  a.serviceId === b.serviceId &&
  a.failureDomainId === b.failureDomainId &&
  a.capacity.cpuMillis === b.capacity.cpuMillis &&
  a.capacity.memoryMb === b.capacity.memoryMb &&
  a.capacity.accelerators === b.capacity.accelerators &&
  a.labels.join() === b.labels.join();
