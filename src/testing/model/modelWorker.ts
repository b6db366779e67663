/**
 * A worker of the model: its lifetimes, its entry in the store, and the faults with which it answers orders.
 */
import type { WorkerRecord } from '../../types/workers.js';
import { createDeferred } from '../../utils/deferred.js';
import type { Deferred } from '../../utils/deferred.js';
import type { FakeClock } from '../fakeClock.js';
import type { NextLifetime } from './modelEvents.js';
import { ModelWorkerLife } from './modelWorkerLife.js';
import type { ModelRun } from './modelRun.js';

/** Time after a crash at which the entry is removed: three missed pings. */
const expiryMs = 4_500;
/** Time after which a worker that a task has crashed is back, in milliseconds. */
const restartMs = 1_500;

/**
 * How a worker answers. `mute`: it carries orders out and answers nothing. `refusing`: it does nothing and
 * says so. `late`: it carries orders out after `lateByMs`, and the answers are lost. `late-grants`: so, too, and a
 * lease counts from the time at which the order is carried out.
 */
export type WorkerFault = 'mute' | 'refusing' | 'late' | 'late-grants';

/** Whether connections to a worker that is down are refused, or get no answer. */
export type DownKind = 'refused' | 'silent';

export interface ModelWorkerOptions {
  readonly time: FakeClock;
  readonly record: WorkerRecord;
  readonly clockRate: number;
  readonly stopMs: number;
  readonly guardsCapacity: boolean;
  readonly onRun: (run: ModelRun) => void;
  /** Writes the entry, or removes it. */
  readonly publish: (workerId: string, record: WorkerRecord | undefined) => void;
}

interface Lifetime {
  readonly life: ModelWorkerLife;
  /** Resolved when the lifetime ends. */
  readonly over: Deferred<undefined>;
}

export class ModelWorker {
  fault: WorkerFault | undefined;
  lateByMs = 0;
  down: DownKind = 'refused';
  /** Whether the entry omits the start of the worker. */
  private omitsStart = false;
  /** Whether what it writes reaches the store. */
  private reachesStore = true;
  private record: WorkerRecord;
  private lifetime: Lifetime | undefined;
  private lives = 0;

  private constructor(private readonly options: ModelWorkerOptions) {
    this.record = options.record;
    this.start();
  }

  static create(options: ModelWorkerOptions): ModelWorker {
    return new ModelWorker(options);
  }

  /** Id of its first lifetime, which names it in scenarios. */
  get workerId(): string {
    return this.options.record.workerId;
  }

  /** Id of its last lifetime. */
  get presentId(): string {
    return this.record.workerId;
  }

  get address(): string {
    return this.options.record.address;
  }

  /** The present lifetime; nothing while the worker is down. */
  get life(): ModelWorkerLife | undefined {
    return this.lifetime?.life;
  }

  /** Resolves when the present lifetime ends. */
  get lifeEnd(): Promise<unknown> {
    return this.lifetime?.over.promise ?? Promise.resolve();
  }

  /** Begins a lifetime, unless it is up, and registers it. */
  start(next: NextLifetime = {}): void {
    if (this.lifetime !== undefined) {
      return;
    }
    const { time, clockRate, stopMs, guardsCapacity, onRun } = this.options;
    this.lives += 1;
    this.record = changeRecord(this.record, next, `${this.workerId}-${this.lives}`);
    const { record } = this;
    const life = ModelWorkerLife.create({
      ...{ time, clockRate, stopMs, guardsCapacity, onRun },
      onCrash: () => void this.crashUnderTask(),
      workerId: record.workerId,
      life: this.lives,
      cpuMillis: record.capacity.cpuMillis,
    });
    this.lifetime = { life, over: createDeferred<undefined>() };
    this.publish('ready');
  }

  /** Ends the lifetime with all its runs; the entry expires later. */
  crash(down: DownKind): void {
    this.down = down;
    this.endLife('crashed');
    const crashedLives = this.lives;
    const crashedId = this.presentId;
    void this.options.time.sleep(expiryMs).then(() => {
      const isDown = this.lifetime === undefined && this.lives === crashedLives;
      if (isDown || this.presentId !== crashedId) {
        this.unpublish(crashedId);
      }
    });
  }

  /** Crashes because of a task, and starts again. */
  private async crashUnderTask(): Promise<void> {
    this.crash('refused');
    await this.options.time.sleep(restartMs);
    this.start();
  }

  /** Reports that the worker drains. */
  drain(): void {
    if (this.lifetime !== undefined) {
      this.publish('draining');
    }
  }

  /** Leaves; everything that runs ends with it. */
  leave(): void {
    this.down = 'refused';
    this.endLife('left');
    this.unpublish();
  }

  /** Writes the entry without the start of the worker, from now on. */
  omitStart(): void {
    this.omitsStart = true;
    if (this.lifetime !== undefined) {
      this.publish('ready');
    }
  }

  /** Lets the entry expire, and writes nothing until the store is reached again. */
  loseStore(): void {
    this.unpublish();
    this.reachesStore = false;
  }

  /** Writes the entry again, if the worker is up. */
  reachStore(): void {
    this.reachesStore = true;
    if (this.lifetime !== undefined) {
      this.publish('ready');
    }
  }

  /** Writes an entry like that of this worker for another id and address. */
  publishElsewhere(workerId: string, address: string): void {
    this.options.publish(workerId, { ...this.record, workerId, address });
  }

  private publish(state: WorkerRecord['state']): void {
    if (!this.reachesStore) {
      return;
    }
    const { record } = this;
    const bornMs = this.lifetime?.life.bornMs;
    const start = this.omitsStart || bornMs === undefined ? {} : { startedAtMs: bornMs };
    this.options.publish(record.workerId, { ...record, state, ...start });
  }

  private unpublish(workerId = this.presentId): void {
    if (this.reachesStore) {
      this.options.publish(workerId, undefined);
    }
  }

  private endLife(how: 'crashed' | 'left'): void {
    const { lifetime } = this;
    this.lifetime = undefined;
    lifetime?.life.end(how);
    lifetime?.over.resolve(undefined);
  }
}

/** @returns the entry of a worker that has become one of another kind, size or id */
const changeRecord = (
  record: WorkerRecord,
  { label, cpuMillis = record.capacity.cpuMillis, takesNewId = false }: NextLifetime,
  newId: string,
): WorkerRecord => ({
  ...record,
  workerId: takesNewId ? newId : record.workerId,
  capacity: { ...record.capacity, cpuMillis },
  labels: label === undefined ? record.labels : [label],
});
