/**
 * A daemon of a fleet: takes jobs from callers, divides them among the dispatchers, and is the
 * dispatcher of some workers itself.
 */
import { BatchRouter } from '../bestEffort/batchRouter.js';
import { FleetView } from '../bestEffort/fleetView.js';
import { JobPlanner } from '../bestEffort/jobPlanner.js';
import { RunLengths } from '../bestEffort/runLengths.js';
import { RunningJobs } from '../bestEffort/runningJobs.js';
import { Dispatcher } from '../dispatch/dispatcher.js';
import type { BatchEnd } from '../dispatch/types.js';
import type { Clock } from '../ports/clock.js';
import type { AskedBatch, FleetConnector, FleetService, Withdrawal } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { WorkerPort } from '../ports/workers.js';
import { RoutingFollower } from '../routing/routingFollower.js';
import { RoutingStore } from '../routing/routingStore.js';
import type { Routing } from '../routing/types.js';
import { SpeedMemory } from '../workers/speedMemory.js';
import { WorkerDirectory } from '../workers/workerDirectory.js';
import { FleetPeers, maxPeerSilenceMs } from './fleetPeers.js';
import { JobIntake } from './jobIntake.js';
import { LearnedKeeper } from './learnedKeeper.js';
import { ShardKeeper, shardOf } from './shardKeeper.js';
import { SuspendWatch } from './suspendWatch.js';
import type { FleetHeartbeat, Member, ShardGrant } from './types.js';

/** Batches that are younger may have been sent after the heartbeat that does not name them. */
const minUnaskedAgeMs = 600;
const askerCheckPeriodMs = 100;
const routingFetchTimeoutMs = 500;

export interface FleetPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly store: FleetStore;
  readonly workers: WorkerPort;
  readonly connector: FleetConnector;
}

export interface FleetIdentity {
  readonly member: Member;
  readonly failureDomainIds: readonly string[];
  readonly leaseMs: number;
  readonly farRackFactor: number;
}

export class FleetDaemon implements FleetService {
  /** What the front end for callers asks. */
  readonly intake: JobIntake;
  private readonly routing = RoutingStore.create();
  private readonly lengths = RunLengths.create();
  private readonly speeds = SpeedMemory.create();
  private readonly learned: LearnedKeeper;
  private readonly directory: WorkerDirectory;
  private readonly follower: RoutingFollower;
  private readonly dispatcher: Dispatcher;
  private readonly peers: FleetPeers;
  private readonly router: BatchRouter;
  private readonly view: FleetView;
  private readonly jobs: RunningJobs;
  private readonly shards: ShardKeeper;
  private readonly suspendWatch: SuspendWatch;
  private readonly logger: Logger;
  private readonly stop = new AbortController();
  private grant: ShardGrant = { generation: 0, shards: [] };
  private isLeaving = false;
  private isFetchingRouting = false;
  private batchNumber = 0;

  private constructor(
    private readonly identity: FleetIdentity,
    private readonly ports: FleetPorts,
  ) {
    const { clock, random, logger, metrics, store, workers, connector } = ports;
    const { member, leaseMs, farRackFactor } = identity;
    this.logger = logger.forPart('jobs');
    this.dispatcher = Dispatcher.create({
      clock,
      random,
      logger,
      metrics,
      workers,
      leaseMs,
      farRackFactor,
      speeds: this.speeds,
    });
    this.directory = WorkerDirectory.create({
      clock,
      logger,
      store,
      onChange: () => void this.serveOwnWorkers(),
    });
    this.follower = RoutingFollower.create({ clock, logger, store, routing: this.routing });
    this.view = FleetView.create({
      clock,
      ownId: member.incarnation,
      ownLoad: () => this.dispatcher.load(),
      findWorker: (workerId) => this.directory.get(workerId),
    });
    this.router = BatchRouter.create({
      clock,
      ownId: member.incarnation,
      dispatcher: this.dispatcher,
      peers: () => this.peers,
      view: this.view,
    });
    const planner = JobPlanner.create({ clock, random, view: this.view, farRackFactor });
    this.jobs = RunningJobs.create({
      clock,
      logger: this.logger,
      metrics,
      planner,
      sender: this.router,
      lengths: this.lengths,
      nextBatchId: () => this.nextBatchId(),
    });
    const { lengths, speeds, routing, directory, jobs } = this;
    this.intake = JobIntake.create({ logger: this.logger, routing, directory, jobs });
    this.learned = LearnedKeeper.create({ clock, logger, store, member, lengths, speeds });
    this.shards = ShardKeeper.create({
      clock,
      logger,
      store,
      member,
      onGrant: (grant) => this.takeGrant(grant),
      onBack: () => this.follower.refresh(),
    });
    this.peers = FleetPeers.create({
      clock,
      logger,
      connector,
      store,
      own: member,
      failureDomainIds: identity.failureDomainIds,
      compose: (peer, isFull) => this.composeHeartbeat(peer, isFull),
      onHeartbeat: (heartbeat) => this.hear(heartbeat),
      onLost: (incarnation) => this.noteLost(incarnation),
      onSuspect: (incarnation) => this.view.forget(incarnation),
    });
    this.suspendWatch = SuspendWatch.create({
      clock,
      logger,
      onSuspended: () => this.forgetWork('the VM was suspended'),
    });
    void this.watchAskers();
  }

  static create(identity: FleetIdentity, ports: FleetPorts): FleetDaemon {
    return new FleetDaemon(identity, ports);
  }

  beat(theirs: FleetHeartbeat): FleetHeartbeat {
    this.peers.hear(theirs);
    return this.composeHeartbeat(theirs.member.incarnation, theirs.lengths !== undefined);
  }

  runBatch({ askedBy, batch, load }: AskedBatch): Promise<BatchEnd> {
    this.peers.noteHeard(askedBy);
    if (load !== undefined) {
      this.view.refresh(askedBy, load);
    }
    return this.dispatcher.run(askedBy, batch);
  }

  withdrawBatch({ batchId }: Withdrawal): void {
    this.dispatcher.withdraw(batchId);
  }

  fetchRouting(): Routing | null {
    return this.routing.current?.routing ?? null;
  }

  /** Refuses new jobs from now on. */
  stopTaking(): void {
    this.intake.close();
  }

  /** Answers every job that has not ended. */
  giveUpJobs(): void {
    this.jobs.giveUpAll('the daemon stops');
  }

  /** Ends all jobs and batches: their callers and askers have gone on without this daemon. */
  private forgetWork(reason: string): void {
    this.jobs.giveUpAll(reason);
    this.dispatcher.askers().forEach((asker) => {
      this.dispatcher.withdrawUnasked(asker, () => false, 0);
    });
  }

  /** Begins a planned stop: takes no new callers and hands the workers over as their runs end. */
  async drain(): Promise<void> {
    this.isLeaving = true;
    this.intake.leave();
    await this.dispatcher.serve([], this.grant.generation);
    await this.shards.leave();
  }

  /** @returns jobs that have not ended */
  get jobCount(): number {
    return this.jobs.size;
  }

  /** @returns workers that this daemon orders and that may get tasks */
  get openWorkerCount(): number {
    return this.dispatcher.load().workers.filter(({ isOpen }) => isOpen).length;
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.all([this.shards.close(), this.peers.close(), this.follower.close()]);
    await Promise.all([this.learned.close(), this.suspendWatch.close()]);
    await this.directory.close();
    await this.dispatcher.close();
    await Promise.all([this.ports.workers.close(), this.ports.store.close()]);
  }

  private nextBatchId(): string {
    this.batchNumber += 1;
    return `${this.identity.member.incarnation}-${this.batchNumber}`;
  }

  private takeGrant(grant: ShardGrant): Promise<unknown> {
    this.grant = grant;
    return this.serveOwnWorkers();
  }

  private serveOwnWorkers(): Promise<unknown> {
    if (this.isLeaving) {
      return Promise.resolve();
    }
    const { failureDomainId } = this.identity.member;
    const { shardCount } = this.ports.store;
    const shards = new Set(this.grant.shards);
    const own = this.directory
      .list()
      .filter(
        (worker) =>
          worker.failureDomainId === failureDomainId &&
          shards.has(shardOf(worker.workerId, shardCount)),
      );
    return this.dispatcher.serve(own, this.grant.generation);
  }

  private composeHeartbeat(peer: string | undefined, isFull: boolean): FleetHeartbeat {
    const load = this.dispatcher.load();
    load.workers.forEach((worker) => this.speeds.note(worker));
    const isNear = peer !== undefined && this.isNear(this.peers.find(peer)?.heartbeat?.member);
    return {
      member: this.identity.member,
      heardAddresses: this.peers.heard().map(({ address }) => address),
      routingVersion: this.routing.version,
      isLeaving: this.isLeaving,
      load,
      askedBatchIds: this.router.askedOf(peer),
      ...(isFull ? { lengths: this.lengths.share() } : {}),
      ...(isFull && isNear ? { speeds: this.speeds.list() } : {}),
    };
  }

  private isNear(member: Member | undefined): boolean {
    return member?.failureDomainId === this.identity.member.failureDomainId;
  }

  private hear(heartbeat: FleetHeartbeat): void {
    const { member, load, askedBatchIds, routingVersion, lengths, speeds } = heartbeat;
    const { incarnation } = member;
    this.view.hear(incarnation, load, this.isNear(member) ? 'near' : 'far');
    load.workers.forEach((worker) => this.speeds.note(worker));
    speeds?.forEach((speed) => this.speeds.noteRemembered(speed));
    if (lengths !== undefined) {
      this.lengths.hear(incarnation, lengths);
    }
    const asked = new Set(askedBatchIds);
    this.dispatcher.withdrawUnasked(incarnation, (id) => asked.has(id), minUnaskedAgeMs);
    if (routingVersion > this.routing.version) {
      void this.fetchRoutingFrom(incarnation);
    }
  }

  /** Takes a newer routing configuration from a daemon that has it, without the store. */
  private async fetchRoutingFrom(incarnation: string): Promise<void> {
    const peer = this.peers.find(incarnation);
    if (this.isFetchingRouting || peer === undefined) {
      return;
    }
    this.isFetchingRouting = true;
    const reply = await peer.link.fetchRouting(routingFetchTimeoutMs);
    this.isFetchingRouting = false;
    const routing = reply.unwrapOr(null);
    if (routing !== null && this.routing.apply(routing)) {
      const { version } = routing;
      this.logger.info('A routing configuration came from a daemon.', {
        version,
        nodeId: incarnation,
      });
    }
  }

  private noteLost(incarnation: string): void {
    this.view.forget(incarnation);
    this.router.noteLost(incarnation);
    this.dispatcher.withdrawUnasked(incarnation, () => false, 0);
  }

  /** Stops the batches of daemons that are not heard, also of those that never were. */
  private async watchAskers(): Promise<void> {
    const { clock } = this.ports;
    while (!this.stop.signal.aborted) {
      await clock.sleep(askerCheckPeriodMs, this.stop.signal);
      for (const asker of this.dispatcher.askers()) {
        const isOwn = asker === this.identity.member.incarnation;
        if (!isOwn && this.peers.find(asker) === undefined) {
          this.dispatcher.withdrawUnasked(asker, () => false, maxPeerSilenceMs);
        }
      }
    }
  }
}
