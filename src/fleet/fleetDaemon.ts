/**
 * A daemon of a fleet: takes jobs from callers, divides them among the dispatchers, and is the
 * dispatcher of some workers itself.
 */
import { BatchRouter } from '../bestEffort/batchRouter.js';
import { FleetView } from '../bestEffort/fleetView.js';
import { StepPlanner } from '../bestEffort/jobPlanner.js';
import { RunTimePredictor } from '../bestEffort/runLengths.js';
import { RunningJobs } from '../bestEffort/runningJobs.js';
import { Dispatcher } from '../dispatch/dispatcher.js';
import type { BatchEnd } from '../types/dispatch.js';
import type { Clock } from '../ports/clock.js';
import type { AskedBatch, FleetConnector, FleetService, Withdrawal } from '../ports/fleetPeers.js';
import type { FleetStore } from '../ports/fleetStore.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { WorkerPort } from '../ports/workers.js';
import { RoutingFollower } from '../routing/routingFollower.js';
import { RoutingStore } from '../routing/routingStore.js';
import type { Routing } from '../types/routing.js';
import { SpeedMemory } from '../workers/speedMemory.js';
import { WorkerDirectory } from '../workers/workerDirectory.js';
import { FleetExchange } from './fleetExchange.js';
import { FleetPeers } from './fleetPeers.js';
import { AskerWatch } from './askerWatch.js';
import { JobIntake } from './jobIntake.js';
import { LearnedKeeper } from './learnedKeeper.js';
import { ShardKeeper, shardOf } from './shardKeeper.js';
import { isNeededAsDispatcher } from './standby.js';
import { SuspendWatch } from './suspendWatch.js';
import type { FleetHeartbeat, Member, ShardGrant } from '../types/fleet.js';

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
  private readonly lengths = RunTimePredictor.create();
  private readonly speeds = SpeedMemory.create();
  private readonly learned: LearnedKeeper;
  private readonly directory: WorkerDirectory;
  private readonly follower: RoutingFollower;
  private readonly dispatcher: Dispatcher;
  private readonly peers: FleetPeers;
  private readonly router: BatchRouter;
  private readonly view: FleetView;
  private readonly exchange: FleetExchange;
  private readonly askerWatch: AskerWatch;
  private readonly jobs: RunningJobs;
  private readonly shards: ShardKeeper;
  private readonly suspendWatch: SuspendWatch;
  private readonly logger: Logger;
  private grant: ShardGrant = { generation: 0, shards: [] };
  private isLeaving = false;
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
    const planner = StepPlanner.create({ clock, random, view: this.view, farRackFactor });
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
    this.intake = JobIntake.create({ logger: this.logger, metrics, routing, directory, jobs });
    this.learned = LearnedKeeper.create({ clock, logger, store, member, lengths, speeds });
    const { view, router, dispatcher } = this;
    this.exchange = FleetExchange.create({
      own: member,
      logger: this.logger,
      routing,
      lengths,
      speeds,
      view,
      router,
      dispatcher,
      peers: () => this.peers,
    });
    this.peers = FleetPeers.create({
      clock,
      logger,
      connector,
      store,
      own: member,
      failureDomainIds: identity.failureDomainIds,
      compose: (peer, isFull) => this.exchange.compose(peer, isFull),
      onHeartbeat: (heartbeat) => this.exchange.hear(heartbeat),
      isBound: (incarnation) => this.exchange.isBound(incarnation),
      onLost: (incarnation) => this.exchange.noteLost(incarnation),
      onSuspect: (incarnation) => this.view.forget(incarnation),
    });
    this.shards = ShardKeeper.create({
      clock,
      logger,
      store,
      member,
      onGrant: (grant) => this.takeGrant(grant),
      onBack: () => this.follower.refresh(),
      isNeeded: () => isNeededAsDispatcher(member, this.peers.nearMembers()),
    });
    this.suspendWatch = SuspendWatch.create({
      clock,
      logger,
      onSuspended: () => this.forgetWork('the VM was suspended'),
    });
    this.askerWatch = AskerWatch.create({
      clock,
      dispatcher,
      isHeard: (asker) => asker === member.incarnation || this.peers.find(asker) !== undefined,
    });
  }

  static create(identity: FleetIdentity, ports: FleetPorts): FleetDaemon {
    return new FleetDaemon(identity, ports);
  }

  beat(theirs: FleetHeartbeat): FleetHeartbeat {
    this.peers.receive(theirs);
    return this.exchange.compose(theirs.member.incarnation, theirs.lengths !== undefined);
  }

  runBatch({ askedBy, batch, load }: AskedBatch): Promise<BatchEnd> {
    this.peers.noteHeard(askedBy);
    if (load !== undefined) {
      this.view.updateKnownLoad(askedBy, load);
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
    this.dispatcher.askers().forEach((asker) => this.dispatcher.withdrawAll(asker));
  }

  /** Begins a planned stop: takes no new callers and hands the workers over as their runs end. */
  async drain(): Promise<void> {
    this.isLeaving = true;
    this.exchange.leave();
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
    await Promise.all([this.shards.close(), this.peers.close(), this.follower.close()]);
    await Promise.all([this.learned.close(), this.suspendWatch.close(), this.askerWatch.close()]);
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
}
