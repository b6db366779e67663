/**
 * Several daemons of a fleet on a fake clock, connected in memory, with simulated workers. A daemon that is
 * killed refuses connections, and nothing that it still does has an effect.
 */
import { setMaxListeners } from 'node:events';
import { Ok } from 'ts-results-es';
import { noMetrics } from '../adapters/system/noMetrics.js';
import { FleetDaemon } from '../fleet/fleetDaemon.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { JobEnd, JobRequest } from '../ports/jobs.js';
import type { WorkerPort } from '../ports/workers.js';
import type { Member } from '../types/fleet.js';
import type { Route, Routing } from '../types/routing.js';
import type { WorkerRecord } from '../types/workers.js';
import { routeFixture, workerFixture } from './dispatchFixtures.js';
import { FakeClock } from './fakeClock.js';
import { FleetNetwork } from './fleetNetwork.js';
import { SeededRandom } from './seededRandom.js';
import { silentLogger } from './silentLogger.js';
import { SimulatedWorkers } from './simulatedWorkers.js';

/** `routeFixture` for any path, with longer times. */
export const fleetRoute: Route = {
  ...routeFixture,
  pathPrefix: '/',
  timeoutMs: 30_000,
  objectiveStretch: 2,
  objectiveSlackMs: 5_000,
};

const routing: Routing = {
  version: 1,
  routes: [fleetRoute],
  services: [],
  maxBodyBytes: 1_000,
};

/** Longer than the last calls of daemons that close take, in milliseconds. */
const closingMs = 5_000;

/** A daemon of the fixture and the workers to which it dispatches. */
export interface FixtureMember {
  readonly address: string;
  readonly incarnation: string;
  readonly failureDomainId: string;
  /** Shards of its failure domain, of which there are `shardCount`. */
  readonly shards: readonly number[];
}

export interface FleetFixtureOptions {
  readonly shardCount: number;
  readonly workers: readonly WorkerRecord[];
  /** Run time of every task, in milliseconds. */
  readonly runMs: number;
}

/** A stop order that a worker carried out. */
export interface RecordedStop {
  readonly taskName: string;
  readonly atMs: number;
}

interface FixtureDaemon {
  readonly daemon: FleetDaemon;
  readonly incarnation: string;
  readonly killed: AbortController;
}

export class FleetFixture {
  readonly clock = FakeClock.create();
  readonly workers: SimulatedWorkers;
  readonly stops: RecordedStop[] = [];
  private readonly network = FleetNetwork.create(this.clock);
  /** Calls between daemons, as method, address of the caller and address of the daemon called. */
  readonly calls = this.network.calls;
  /** Addresses of daemons that answer no call. */
  readonly silent = this.network.silent;
  /** Addresses of daemons that are cut off: no call to or from them is answered. */
  readonly cutOff = this.network.cutOff;
  /** Addresses of daemons that do not know the methods `cancelJob` and `awaitJob`. */
  readonly earlierVersions = this.network.earlierVersions;
  /** By address. */
  private readonly daemons = new Map<string, FixtureDaemon>();
  private readonly members: Member[] = [];
  private failureDomainIds: readonly string[] = [];

  private constructor(private readonly options: FleetFixtureOptions) {
    const { runMs } = options;
    const startedAtMs = workerFixture.startedAtMs ?? 0;
    const crashesWorker = (): boolean => false;
    this.workers = SimulatedWorkers.create({
      clock: this.clock,
      runMs,
      startedAtMs,
      crashesWorker,
    });
  }

  /** Starts the daemons, and waits until they dispatch and know each other. */
  static async create(
    options: FleetFixtureOptions,
    members: readonly FixtureMember[],
  ): Promise<FleetFixture> {
    const fixture = new FleetFixture(options);
    fixture.failureDomainIds = [...new Set(members.map((member) => member.failureDomainId))];
    members.forEach((member) => fixture.start(member));
    await fixture.clock.advance(4_000);
    return fixture;
  }

  /** Starts a process at an address. */
  start({ shards, ...identity }: FixtureMember): void {
    const { clock } = this;
    const member: Member = { ...identity, weight: 1 };
    const killed = new AbortController();
    setMaxListeners(0, killed.signal);
    const daemon = FleetDaemon.create(
      {
        member,
        failureDomainIds: this.failureDomainIds,
        longestLeaseMs: 1_000,
        farRackFactor: 1.5,
        stopGraceMs: 6_000,
      },
      {
        clock,
        random: SeededRandom.create(this.members.length + 1),
        logger: silentLogger,
        metrics: noMetrics,
        store: this.storeOf(shards),
        workers: this.workerPortOf(killed.signal),
        connector: this.network.connectorOf(member.address, killed.signal),
      },
    );
    this.members.push(member);
    this.network.attach(member.address, { service: daemon.peerService, killed: killed.signal });
    this.daemons.set(member.address, { daemon, incarnation: member.incarnation, killed });
  }

  /** Ends a process at once: its address refuses connections, and its calls are broken. */
  kill(address: string): void {
    this.find(address).killed.abort();
  }

  /** Submits a job at a daemon. */
  submit(address: string, request: JobRequest): Promise<JobEnd> {
    const { signal } = new AbortController();
    return this.daemon(address).intake.submit(fleetRoute, request, 30_000, signal);
  }

  daemon(address: string): FleetDaemon {
    return this.find(address).daemon;
  }

  async close(): Promise<void> {
    const closing = Promise.all([...this.daemons.values()].map(({ daemon }) => daemon.close()));
    await this.clock.advance(closingMs);
    await closing;
  }

  private find(address: string): FixtureDaemon {
    const found = this.daemons.get(address);
    if (found === undefined) {
      throw new Error(`No daemon was started at ${address}.`);
    }
    return found;
  }

  private storeOf(shards: readonly number[]): FleetStore {
    const { clock, options } = this;
    const { shardCount, workers } = options;
    const store: FleetStore = {
      shardCount,
      join: () => Promise.resolve(Ok({ generation: 1, shards: [...shards] })),
      leave: () => Promise.resolve(Ok(undefined)),
      listMembers: (domain) =>
        Promise.resolve(Ok(this.members.filter((one) => one.failureDomainId === domain))),
      readRouting: () => Promise.resolve(Ok({ routing, nextOffset: 1, faults: [] })),
      awaitRouting: async (offset, waitMs, signal) => {
        await clock.sleep(waitMs, signal);
        return Ok({ routing: undefined, nextOffset: offset, faults: [] });
      },
      listWorkers: () =>
        Promise.resolve(
          Ok({
            changes: workers.map((worker) => ({ kind: 'listed' as const, worker })),
            nextOffset: 1,
          }),
        ),
      readWorkerChanges: () => Promise.resolve(Ok({ changes: [], nextOffset: 1 })),
      saveLearned: () => Promise.resolve(Ok(undefined)),
      readLearned: () => Promise.resolve(Ok([])),
      close: () => Promise.resolve(),
    };
    return store;
  }

  private workerPortOf(killed: AbortSignal): WorkerPort {
    const { clock, stops, workers } = this;
    const gone = { kind: 'unreachable', detail: 'the dispatcher was killed' } as const;
    return {
      start: (target, order) =>
        killed.aborted ? Promise.resolve(gone) : workers.start(target, order),
      stop: (target, order) => {
        if (killed.aborted) {
          return Promise.resolve(gone);
        }
        stops.push({ taskName: order.taskName, atMs: clock.nowMs() });
        return workers.stop(target, order);
      },
      hold: (target, order) =>
        killed.aborted ? Promise.resolve(gone) : workers.hold(target, order),
      disconnect: () => Promise.resolve(),
      close: () => Promise.resolve(),
    };
  }
}
