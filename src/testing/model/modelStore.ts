/**
 * The store of the model, and the port of each process to it.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type {
  FleetStore,
  RoutingReadResult,
  SavedLearned,
  StoreError,
  WorkerChange,
  WorkerChanges,
} from '../../ports/fleetStore.js';
import type { Member, ShardGrant } from '../../types/fleet.js';
import type { Routing } from '../../types/routing.js';
import type { WorkerRecord } from '../../types/workers.js';
import type { FakeClock } from '../fakeClock.js';
import type { ModelNetwork } from './modelNetwork.js';
import type { ModelProcess } from './modelProcess.js';
import { ModelShards } from './modelShards.js';

/** Name of the store on the network. */
export const storeName = 'store';
const shardCount = 8;
const callTimeoutMs = 600;

export class ModelStore {
  private readonly groups = new Map<string, ModelShards>();
  /** Newest entry of each worker that is listed. */
  private readonly entries = new Map<string, WorkerRecord>();
  private readonly changes: WorkerChange[] = [];

  private constructor(
    readonly time: FakeClock,
    readonly network: ModelNetwork,
    readonly routing: Routing,
  ) {}

  static create(time: FakeClock, network: ModelNetwork, routing: Routing): ModelStore {
    return new ModelStore(time, network, routing);
  }

  /** Writes or removes the entry of a worker. */
  publish(workerId: string, record: WorkerRecord | undefined): void {
    if (record === undefined) {
      this.entries.delete(workerId);
      this.changes.push({ kind: 'removed', workerId });
    } else {
      this.entries.set(workerId, record);
      this.changes.push({ kind: 'listed', worker: record });
    }
  }

  /** Writes an entry that names no worker. */
  publishUnreadable(workerId: string): void {
    this.changes.push({ kind: 'unreadable', workerId, reason: 'not valid' });
  }

  /** Opens the port of a process. */
  connect(process: ModelProcess): FleetStore {
    const call = <T>(serve: () => T): Promise<Result<T, StoreError>> => this.call(process, serve);
    return {
      shardCount,
      join: (member, generation) => call(() => this.join(member, generation)),
      leave: (member) => call(() => this.groupOf(member.failureDomainId).leave(member)),
      listMembers: (domain) => call(() => this.groupOf(domain).list(this.time.nowMs())),
      readRouting: () => call(() => this.readRouting()),
      awaitRouting: async (_offset, waitMs, signal) => {
        await process.clock.sleep(waitMs, signal);
        return call(() => ({ routing: undefined, nextOffset: 1, faults: [] }));
      },
      listWorkers: () => call(() => this.listWorkers()),
      readWorkerChanges: (offset) => call(() => this.readChanges(offset)),
      saveLearned: () => call(() => undefined),
      readLearned: () => call((): SavedLearned[] => []),
      close: async () => undefined,
    };
  }

  private async call<T>(process: ModelProcess, serve: () => T): Promise<Result<T, StoreError>> {
    const result = await this.network.call({
      caller: process,
      callee: storeName,
      timeoutMs: callTimeoutMs,
      isListening: () => true,
      carryOut: async () => serve(),
    });
    return result.kind === 'answered'
      ? Ok(result.value)
      : Err({ kind: result.kind === 'not-sent' ? 'refused' : 'no-answer', detail: result.kind });
  }

  private join(member: Member, generation: number): ShardGrant {
    return this.groupOf(member.failureDomainId).join(member, generation, this.time.nowMs());
  }

  private groupOf(domain: string): ModelShards {
    const group = this.groups.get(domain) ?? ModelShards.create(shardCount);
    this.groups.set(domain, group);
    return group;
  }

  private readRouting(): RoutingReadResult {
    return { routing: this.routing, nextOffset: 1, faults: [] };
  }

  private listWorkers(): WorkerChanges {
    const listed = [...this.entries.values()].map((worker): WorkerChange => ({
      kind: 'listed',
      worker,
    }));
    return { changes: listed, nextOffset: this.changes.length };
  }

  private readChanges(offset: number): WorkerChanges {
    return { changes: this.changes.slice(offset), nextOffset: this.changes.length };
  }
}
