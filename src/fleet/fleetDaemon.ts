/**
 * A daemon of a fleet: accepts jobs from callers, divides their tasks among the dispatchers of the
 * fleet, and is itself the dispatcher of some workers.
 */
import { JobAdmission } from '../admission/jobAdmission.js';
import { createServiceLoadOf } from '../admission/serviceLoadOfView.js';
import { BatchRouter } from '../bestEffort/batchRouter.js';
import { FleetView } from '../bestEffort/fleetView.js';
import { StepPlanner } from '../bestEffort/stepPlanner.js';
import { RunTimePredictor } from '../bestEffort/runTimePredictor.js';
import { RunningJobs } from '../bestEffort/runningJobs.js';
import { Dispatcher } from '../dispatch/dispatcher.js';
import type { FleetService } from '../ports/fleetPeers.js';
import type { CallerConnections } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import { RoutingFollower } from '../routing/routingFollower.js';
import { RoutingStore } from '../routing/routingStore.js';
import { TaskSupervisor } from '../utils/taskSupervisor.js';
import { WorkerSpeedCache } from '../workers/workerSpeedCache.js';
import { WorkerDirectory } from '../workers/workerDirectory.js';
import { createCallerMonitoring } from './callerMonitoring.js';
import { BatchIntake } from './batchIntake.js';
import type { FleetIdentity, FleetPorts } from './fleetIdentity.js';
import { FleetHeartbeatExchange } from './fleetHeartbeatExchange.js';
import { FleetPeers } from './fleetPeers.js';
import { MessageAges } from './messageAges.js';
import { PeerService } from './peerService.js';
import { RequesterLeases } from './requesterLeases.js';
import { RequesterMonitor } from './requesterMonitor.js';
import { leaseTimesFor, maxSharingSilenceMs } from './requesterTimes.js';
import { HeldJobs } from './heldJobs.js';
import type { JobCancellation } from './jobCancellation.js';
import { createJobFront } from './jobFront.js';
import type { JobIntake } from './jobIntake.js';
import { LearnedBackup } from './learnedBackup.js';
import { readClaims } from './workerClaims.js';
import { createHandOver, handOverWorkers } from './workerHandOver.js';
import { ServedWorkers } from './servedWorkers.js';
import { ShardMembership } from './shardMembership.js';
import { isNeededAsDispatcher } from './standby.js';
import { StandstillDetector } from './standstillDetector.js';
import { recoverFromStandstill } from './standstillRecovery.js';

export class FleetDaemon {
  /** Serves the other daemons of the fleet. */
  readonly peerService: FleetService;
  /** Serves the requests of callers. */
  readonly intake: JobIntake;
  /** Learns of the connections of callers. */
  readonly connections: CallerConnections;
  private readonly routing = RoutingStore.create();
  private readonly lengths = RunTimePredictor.create();
  private readonly speeds = WorkerSpeedCache.create();
  private readonly learned: LearnedBackup;
  private readonly directory: WorkerDirectory;
  private readonly routingFollower: RoutingFollower;
  private readonly dispatcher: Dispatcher;
  private readonly peers: FleetPeers;
  private readonly router: BatchRouter;
  private readonly view: FleetView;
  private readonly heartbeatExchange: FleetHeartbeatExchange;
  private readonly requesterMonitor: RequesterMonitor;
  private readonly jobs: RunningJobs;
  private readonly cancellation: JobCancellation;
  private readonly shards: ShardMembership;
  private readonly servedWorkers: ServedWorkers;
  private readonly standstills: StandstillDetector;
  private readonly logger: Logger;

  private constructor(
    identity: FleetIdentity,
    private readonly ports: FleetPorts,
  ) {
    const { clock, random, logger, metrics, store, workers, connector } = ports;
    const { member, longestLeaseMs, callerResendMs, farRackFactor, stopGraceMs } = identity;
    const { schedulingPolicy = 'deadline' } = identity;
    const ownId = member.incarnation;
    const ages = MessageAges.create(clock);
    const leases = RequesterLeases.create(ages);
    const supervisor = TaskSupervisor.create({ clock, logger, metrics });
    const common = { clock, logger, metrics, store, supervisor };
    const leaseTimes = leaseTimesFor(longestLeaseMs, callerResendMs);
    this.logger = logger.forPart('jobs');
    const standstills = StandstillDetector.create({
      ...common,
      onStandstill: (standstill) => {
        const { intake, dispatcher, shards, routingFollower } = this;
        recoverFromStandstill(standstill, {
          ...{ ages, contact, intake, dispatcher, shards, routingFollower },
        });
      },
    });
    this.standstills = standstills;
    const { backlog, contact, overload } = createCallerMonitoring({ ...common, standstills });
    this.connections = backlog;
    this.dispatcher = Dispatcher.create({
      ...{ clock, random, logger, metrics, workers, leaseTimes, farRackFactor, schedulingPolicy },
      speeds: this.speeds,
      beforeOrders: () => standstills.check(),
      onLikelyCrash: () => this.peers.tellNews(),
    });
    this.directory = WorkerDirectory.create({
      ...common,
      onChange: () =>
        void supervisor.attempt('releasing workers', () => this.servedWorkers.update()),
    });
    this.servedWorkers = ServedWorkers.create({
      ...{ clock, logger, metrics },
      failureDomainId: member.failureDomainId,
      shardCount: store.shardCount,
      directory: this.directory,
      dispatcher: this.dispatcher,
      claims: () => readClaims(this.peers.domainHeartbeats(maxSharingSilenceMs)),
      hasUnheardPeers: () => this.peers.hasUnheardDomainPeers,
      onNews: () => this.peers.tellDomainNews(),
    });
    this.routingFollower = RoutingFollower.create({ ...common, routing: this.routing });
    this.view = FleetView.create({
      clock,
      ownId,
      ownLoad: () => this.dispatcher.load(),
      findWorker: (workerId) => this.directory.get(workerId),
    });
    this.router = BatchRouter.create({
      clock,
      ownId,
      ages,
      contact,
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
      admission: JobAdmission.create({
        ...{ clock, random, metrics, logger: this.logger, schedulingPolicy },
        serviceLoadOf: createServiceLoadOf(clock, this.view),
      }),
      sender: this.router,
      lengths: this.lengths,
      leaseTimes,
      contact,
      standstills,
    });
    const { lengths, speeds, routing, directory, jobs, view, router, dispatcher } = this;
    const held = HeldJobs.create(clock, ownId);
    const front = createJobFront({
      ...{ clock, metrics, ownId, routing, directory, dispatcher, lengths, contact, jobs },
      ...{ held, overload, standstills, leaseTimes },
      logger: this.logger,
      failureDomainId: member.failureDomainId,
      peers: () => this.peers,
    });
    const { cancellation, intake, questions, listHeld } = front;
    this.cancellation = cancellation;
    this.intake = intake;
    this.learned = LearnedBackup.create({ ...common, member, lengths, speeds });
    const batchIntake = BatchIntake.create({
      ownId,
      logger: this.logger,
      ages,
      leases,
      dispatcher,
    });
    this.heartbeatExchange = FleetHeartbeatExchange.create({
      ...{ clock, ages, contact, leases, own: member, logger: this.logger, routing, lengths },
      ...{
        speeds,
        view,
        router,
        dispatcher,
        held,
        confirmationMs: leaseTimes.confirmationMs,
      },
      jobs: {
        listHeld,
        listCancelled: () => jobs.listCancelled(),
        recordCancelled: (job) => jobs.recordCancelled(job),
      },
      listAwaited: () => this.servedWorkers.listAwaited(),
      peers: () => this.peers,
    });
    this.peers = FleetPeers.create({
      ...common,
      connector,
      own: member,
      failureDomainIds: identity.failureDomainIds,
      stopGraceMs,
      composeHeartbeat: (peer, isFull) => this.heartbeatExchange.composeHeartbeat(peer, isFull),
      onHeartbeat: (heartbeat) => {
        standstills.check();
        this.heartbeatExchange.handleHeartbeat(heartbeat);
        this.servedWorkers.checkClaims();
      },
      onRoundTrip: (incarnation, durationMs) => ages.recordRoundTrip(incarnation, durationMs),
      isDispatching: () => this.dispatcher.workerCount > 0,
      sharesBatches: (incarnation) => this.heartbeatExchange.sharesBatchesWith(incarnation),
      onLost: (lost, loss) => this.heartbeatExchange.handleLostDaemon(lost, loss),
      onSuspect: (incarnation) => this.heartbeatExchange.handleUnanswered(incarnation),
    });
    const { peers, heartbeatExchange } = this;
    this.peerService = PeerService.create({
      standstills,
      ages,
      peers,
      heartbeatExchange,
      batchIntake,
      cancellation,
      questions,
      dispatcher,
      routing,
    });
    this.shards = ShardMembership.create({
      ...common,
      member,
      onGrant: (grant) => this.servedWorkers.applyGrant(grant),
      onStoreReachable: () => this.routingFollower.refresh(),
      isNeeded: () => isNeededAsDispatcher(member, this.peers.presentDomainMembers()),
      checkStandstill: () => standstills.check(),
    });
    this.requesterMonitor = RequesterMonitor.create({
      ...common,
      ownId,
      contact,
      leases,
      dispatcher,
    });
  }

  static create(identity: FleetIdentity, ports: FleetPorts): FleetDaemon {
    return new FleetDaemon(identity, ports);
  }

  /**
   * Sets the failure domains of the fleet, in which other daemons are looked for.
   *
   * @param failureDomainIds - this daemon's own included
   */
  setFailureDomains(failureDomainIds: readonly string[]): void {
    this.peers.setFailureDomains(failureDomainIds);
  }

  /** Refuses new jobs from now on. */
  stopAcceptingJobs(): void {
    this.intake.close();
  }

  /** Ends every job that has not ended, so that its caller gets an answer. */
  giveUpJobs(): void {
    this.intake.giveUpAll('the daemon stops');
  }

  /**
   * Begins a planned shutdown: reports that it is not ready, and hands its workers over.
   *
   * @param endAtMs - when runs that are still at work have been stopped, in monotonic time
   */
  async drain(endAtMs: number): Promise<void> {
    this.heartbeatExchange.leave();
    this.intake.leave();
    const { dispatcher, servedWorkers, shards } = this;
    const handOver = createHandOver({ dispatcher, servedWorkers, shards });
    await handOverWorkers({ clock: this.ports.clock, logger: this.logger }, handOver, endAtMs);
  }

  /** @returns number of jobs that have not ended */
  get jobCount(): number {
    return this.intake.jobCount;
  }

  /** @returns number of workers that this daemon dispatches to and that accept tasks */
  get openWorkerCount(): number {
    return this.dispatcher.load().workers.filter(({ isOpen }) => isOpen).length;
  }

  /** Stops all activity and closes the connections to workers and the store. */
  async close(): Promise<void> {
    this.cancellation.close();
    this.servedWorkers.close();
    await Promise.all([this.shards.close(), this.peers.close(), this.routingFollower.close()]);
    await Promise.all([
      this.learned.close(),
      this.standstills.close(),
      this.requesterMonitor.close(),
    ]);
    await this.directory.close();
    await this.dispatcher.close();
    await Promise.all([this.ports.workers.close(), this.ports.store.close()]);
  }
}
