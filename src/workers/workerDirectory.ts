/**
 * The workers that are listed in the store. One async function polls the store for changes.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetStore, WorkerChange } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import { unreachable } from '../errors/unreachable.js';
import { hasEnough, maxResources, noResources } from '../types/resources.js';
import type { Resources } from '../types/resources.js';
import { DependencyMonitor } from '../utils/dependencyMonitor.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';
import type { WorkerRecord } from '../types/workers.js';
import { InvalidEntries } from './invalidEntries.js';

const readPeriodMs = 1_000;
/**
 * Time from the loss of an entry to the removal of its worker. An entry that expired while the
 * store was unreachable is back within two seconds of the store's return.
 */
const removalDelayMs = 2_500;

export interface WorkerDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly store: FleetStore;
  readonly supervisor: TaskSupervisor;
  /** Called when workers were added, removed or changed. */
  readonly onChange: () => void;
}

/**
 * Whether a task fits on a worker that is listed now. `shrunk`: only while a worker whose capacity has shrunk has
 * its full capacity. `unlisted`: on none; another one may be listed later. `unknown`: none of the service is listed.
 * None of them says that a task can never run: workers leave the list for a while, and come back as other kinds.
 */
export type TaskFit = 'fits' | 'shrunk' | 'unlisted' | 'unknown';

export class WorkerDirectory {
  private readonly workers = new Map<string, WorkerRecord>();
  /** Largest capacity that each worker has had since its last start, by worker. */
  private readonly largestCapacities = new Map<string, Resources>();
  /** When a worker's entry was found missing, in monotonic time, by worker. */
  private readonly missingSinceMs = new Map<string, number>();
  private readonly invalidEntries: InvalidEntries;
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly dependency: DependencyMonitor;
  /** Where to read on; undefined if the whole list is to be read. */
  private nextOffset: number | undefined;
  private readonly polling: Promise<void>;

  private constructor(private readonly options: WorkerDirectoryOptions) {
    this.logger = options.logger.forPart('workers');
    this.invalidEntries = InvalidEntries.create(this.logger, options.metrics);
    this.dependency = DependencyMonitor.create(
      'worker entries in the store',
      this.logger,
      options.clock,
    );
    this.polling = options.supervisor.keep(
      'following the worker entries',
      () => this.pollChanges(),
      this.stop.signal,
    );
  }

  static create(options: WorkerDirectoryOptions): WorkerDirectory {
    return new WorkerDirectory(options);
  }

  get(workerId: string): WorkerRecord | undefined {
    return this.workers.get(workerId);
  }

  /** @returns all workers, also those whose entry has just gone missing */
  list(): WorkerRecord[] {
    return [...this.workers.values()];
  }

  /**
   * Returns whether any listed worker of a service has the capacity and the label for a task, whatever
   * runs on it now.
   *
   * @param serviceId - the service
   * @param needs - resources that the task occupies
   * @param label - label that the worker must have, if any
   */
  fitOf(serviceId: string, needs: Resources, label: string | undefined): TaskFit {
    const ofService = this.list().filter((worker) => worker.serviceId === serviceId);
    if (ofService.length === 0) {
      return 'unknown';
    }
    const labelled = ofService.filter(
      ({ labels }) => label === undefined || labels.includes(label),
    );
    if (labelled.some(({ capacity }) => hasEnough(needs, capacity))) {
      return 'fits';
    }
    const hadEnough = labelled.some(({ workerId }) =>
      hasEnough(needs, this.largestCapacities.get(workerId) ?? noResources),
    );
    return hadEnough ? 'shrunk' : 'unlisted';
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.race([this.polling, this.options.clock.sleep(0)]);
  }

  private async pollChanges(): Promise<void> {
    const { clock } = this.options;
    while (!this.stop.signal.aborted) {
      await this.readChanges();
      if (this.removeMissing()) {
        this.options.onChange();
      }
      await clock.sleep(readPeriodMs, this.stop.signal);
    }
  }

  /** Reads the changes since the last read, or the whole list if the store has dropped them. */
  private async readChanges(): Promise<void> {
    const { store } = this.options;
    const isWholeList = this.nextOffset === undefined;
    const reading =
      this.nextOffset === undefined
        ? await store.listWorkers()
        : await store.readWorkerChanges(this.nextOffset);
    if (reading.isErr()) {
      this.dependency.recordFailure(reading.error.detail);
      return;
    }
    this.dependency.recordSuccess();
    this.nextOffset = reading.value?.nextOffset;
    if (reading.value === undefined) {
      await this.readChanges();
      return;
    }
    if (isWholeList) {
      this.markUnlistedAsMissing(reading.value.changes);
    }
    const hasChanged = reading.value.changes.filter((change) => this.apply(change)).length > 0;
    if (hasChanged) {
      this.options.onChange();
    }
  }

  /** Marks the workers that a whole list does not contain; one with an invalid entry keeps its record. */
  private markUnlistedAsMissing(changes: readonly WorkerChange[]): void {
    const listed = new Set(
      changes.flatMap((change) => (change.kind === 'removed' ? [] : [workerIdOf(change)])),
    );
    for (const workerId of this.workers.keys()) {
      if (!listed.has(workerId)) {
        this.markMissing(workerId);
      }
    }
  }

  /** @returns whether a worker was added or its record has changed */
  private apply(change: WorkerChange): boolean {
    switch (change.kind) {
      case 'listed':
        return this.recordListed(change.worker);
      case 'removed':
        this.invalidEntries.forget(change.workerId);
        this.markMissing(change.workerId);
        return false;
      case 'unreadable':
        this.invalidEntries.report(change.workerId, change.reason);
        return false;
      default:
        return unreachable(change);
    }
  }

  private recordListed(worker: WorkerRecord): boolean {
    const { workerId } = worker;
    this.missingSinceMs.delete(workerId);
    this.invalidEntries.forget(workerId);
    const known = this.workers.get(workerId);
    if (known !== undefined && isSameRecord(known, worker)) {
      return false;
    }
    const isSameStart = known?.startedAtMs === worker.startedAtMs;
    const earlier = isSameStart ? this.largestCapacities.get(workerId) : undefined;
    this.largestCapacities.set(workerId, maxResources(earlier ?? noResources, worker.capacity));
    this.workers.set(workerId, worker);
    this.logger.info(known === undefined ? 'A worker is listed.' : 'A worker has changed.', {
      workerId,
      state: worker.state,
      cpuMillis: worker.capacity.cpuMillis,
    });
    return true;
  }

  private markMissing(workerId: string): void {
    if (this.workers.has(workerId) && !this.missingSinceMs.has(workerId)) {
      this.missingSinceMs.set(workerId, this.options.clock.nowMs());
    }
  }

  /**
   * Removes the workers whose entries have been missing for long enough, unless the store is
   * unreachable.
   *
   * @returns whether any worker was removed
   */
  private removeMissing(): boolean {
    const nowMs = this.options.clock.nowMs();
    const expired = [...this.missingSinceMs].filter(
      ([, sinceMs]) => !this.dependency.isUnreachable && nowMs - sinceMs >= removalDelayMs,
    );
    for (const [workerId] of expired) {
      this.missingSinceMs.delete(workerId);
      this.workers.delete(workerId);
      this.largestCapacities.delete(workerId);
      this.logger.info('A worker is no longer listed.', { workerId });
    }
    return expired.length > 0;
  }
}

const workerIdOf = (change: Exclude<WorkerChange, { kind: 'removed' }>): string =>
  change.kind === 'listed' ? change.worker.workerId : change.workerId;

const isSameRecord = (a: WorkerRecord, b: WorkerRecord): boolean =>
  a.address === b.address &&
  a.startedAtMs === b.startedAtMs &&
  a.state === b.state &&
  a.serviceId === b.serviceId &&
  a.failureDomainId === b.failureDomainId &&
  a.capacity.cpuMillis === b.capacity.cpuMillis &&
  a.capacity.memoryMb === b.capacity.memoryMb &&
  a.capacity.accelerators === b.capacity.accelerators &&
  a.labels.join() === b.labels.join();
