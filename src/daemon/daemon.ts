/**
 * One daemon: connects its components to the ports and implements the services of the front ends.
 */
import type { Result } from 'ts-results-es';
import { ConfigurationFollower } from '../configuration/configurationFollower.js';
import { PeerCatchUp } from '../configuration/peerCatchUp.js';
import type { Problem } from '../errors/problem.js';
import { DispatchAssignment } from '../membership/dispatchAssignment.js';
import { PeerSet } from '../membership/peerSet.js';
import type { CallerService, JobStatus } from '../ports/callers.js';
import type { DaemonStatus, OperatorService, ServiceLevels } from '../ports/operators.js';
import type {
  ForwardedStatus,
  ForwardedSubmission,
  HandOverBatch,
  HandOverReply,
  AdoptedIncarnations,
  OffloadReply,
  OffloadRequest,
  PeerService,
  StatusReply,
  SubmissionRef,
  SubmitOutcome,
  OffloadWithdrawal,
} from '../ports/peers.js';
import type { Ports } from '../ports/ports.js';
import { shutDownSubmissions } from '../submissions/submissionShutdown.js';
import { formatOwner } from '../submissions/submissionKey.js';
import type { ConfigurationCheckpoint } from '../types/configuration.js';
import type { JobTrace } from '../types/explain.js';
import type { Caller } from '../types/inventory.js';
import type { Submission } from '../types/jobs.js';
import type { DaemonState, Heartbeat } from '../types/membership.js';
import type { DaemonIdentity } from './daemonIdentity.js';
import { createStores } from './daemonStores.js';
import type { DaemonStores } from './daemonStores.js';
import { createPlacement } from './daemonPlacement.js';
import type { DaemonPlacement } from './daemonPlacement.js';
import { createSubmissions } from './daemonSubmissions.js';
import type { DaemonSubmissions } from './daemonSubmissions.js';

export class Daemon implements CallerService, OperatorService, PeerService {
  /** Random id of this daemon process. */
  readonly incarnation: string;
  private readonly stores: DaemonStores;
  private readonly peers: PeerSet;
  private readonly placement: DaemonPlacement;
  private readonly submissions: DaemonSubmissions;
  private readonly dispatchAssignment: DispatchAssignment;
  private readonly configurationFollower: ConfigurationFollower;
  private readonly configurationCatchUp: PeerCatchUp;
  private state: DaemonState = 'active';

  private constructor(
    private readonly identity: DaemonIdentity,
    private readonly ports: Ports,
  ) {
    const { clock, logger, random, logService } = ports;
    const incarnation = random.id();
    this.incarnation = incarnation;
    this.stores = createStores(identity, incarnation, ports);
    this.peers = PeerSet.create({
      vmId: identity.vmId,
      failureDomainId: identity.failureDomainId,
      clock,
      logger,
      vmList: ports.vmList,
      connector: ports.peers,
      ownHeartbeat: () => this.composeHeartbeat(),
      sentHeartbeat: () => this.composeSentHeartbeat(),
    });
    const { stores, peers } = this;
    const commonOptions = { identity, incarnation, ports, stores, peers };
    this.placement = createPlacement({
      ...commonOptions,
      isAcceptingTasks: () => this.state === 'active',
    });
    this.submissions = createSubmissions({ ...commonOptions, placement: this.placement });
    this.dispatchAssignment = DispatchAssignment.create({
      failureDomainId: identity.failureDomainId,
      clock,
      logger,
      configuration: stores.configuration,
      peers,
      ownHeartbeat: () => this.composeHeartbeat(),
      serve: (endpoints) => this.placement.scheduler.setEndpoints(endpoints),
    });
    this.configurationFollower = ConfigurationFollower.create({
      logService,
      clock,
      logger,
      store: stores.configuration,
      checkpointRank: () => peers.rankOf('checkpoint'),
    });
    this.configurationCatchUp = PeerCatchUp.create({
      clock,
      logger,
      store: stores.configuration,
      follower: this.configurationFollower,
      peers,
    });
  }

  static create(identity: DaemonIdentity, ports: Ports): Daemon {
    return new Daemon(identity, ports);
  }

  get configurationVersion(): number {
    return this.stores.configuration.version;
  }

  authenticate(tokenSha256: string): Caller | undefined {
    return this.stores.configuration.current?.inventory.findCallerByToken(tokenSha256);
  }

  owner(): string {
    return formatOwner(this.stores.submissionTable.owner);
  }

  isReady(): boolean {
    return this.state === 'active' && this.stores.configuration.current !== undefined;
  }

  submit(
    caller: Caller,
    keyText: string,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome> {
    return this.submissions.router.submit(caller, keyText, body);
  }

  status(caller: Caller, keyText: string, waitMs: number): Promise<Result<JobStatus, Problem>> {
    return this.submissions.router.status(caller, keyText, waitMs);
  }

  cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>> {
    return this.submissions.router.cancel(caller, keyText);
  }

  lookup(caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome> {
    return this.submissions.router.lookup(caller, body);
  }

  heartbeat(received: Heartbeat): Heartbeat {
    this.peers.receiveHeartbeat(received);
    return this.composeSentHeartbeat();
  }

  forward(request: ForwardedSubmission): Promise<SubmitOutcome> {
    return this.submissions.router.submitLocally(request);
  }

  statusForwarded(request: ForwardedStatus): Promise<StatusReply> {
    return this.submissions.router.statusLocally(request);
  }

  cancelForwarded(request: SubmissionRef): Promise<StatusReply> {
    return this.submissions.router.cancelLocally(request);
  }

  handOver(batch: HandOverBatch): HandOverReply {
    return this.stores.adoptedTables.addBatch(batch);
  }

  fetchInheritance(): AdoptedIncarnations {
    return { incarnations: this.stores.adoptedTables.incarnations() };
  }

  passTasks(request: OffloadRequest): Promise<OffloadReply> {
    return this.placement.offloadedTasks.runAll(request);
  }

  withdrawPassed({ jobId }: OffloadWithdrawal): void {
    this.placement.scheduler.withdraw(jobId);
  }

  fetchConfiguration(): ConfigurationCheckpoint | null {
    return this.configurationFollower.checkpoint() ?? null;
  }

  refreshPeers(): Promise<void> {
    return this.peers.exchangeHeartbeats();
  }

  /** Refuses new submissions and announces the shutdown in heartbeats; running jobs go on. */
  drain(): void {
    this.state = 'leaving';
    this.submissions.own.stopAccepting();
    this.dispatchAssignment.refresh();
  }

  daemonStatus(): DaemonStatus {
    return {
      own: this.composeHeartbeat(),
      peers: this.peers.reachablePeers(),
      unheardVmIds: this.peers.unheardVmIds(),
      endpoints: this.dispatchAssignment.describe(),
      rememberedSubmissions: this.stores.submissionTable.size,
    };
  }

  jobTraces(name: string): JobTrace[] {
    return this.stores.traces.find(name);
  }

  serviceLevels(): ServiceLevels {
    const objectives = this.stores.configuration.current?.rules.serviceLevelObjectives ?? [];
    return { vmId: this.identity.vmId, objectives, sums: this.stores.report.unwrittenSums() };
  }

  /** Stops at once without a hand-over, as if the process had been killed. */
  async kill(): Promise<void> {
    await this.closeConnections();
    await this.stores.report.kill();
    await this.closeComponents();
  }

  /** Shuts down as planned: running jobs end, and a successor adopts the submission tables. */
  async close(): Promise<void> {
    this.drain();
    const { clock, logger } = this.ports;
    const { peers } = this;
    const { own } = this.submissions;
    const { submissionTable, adoptedTables } = this.stores;
    await shutDownSubmissions({
      clock,
      logger: logger.forPart('departure'),
      peers,
      own,
      submissionTable,
      adoptedTables,
    });
    await this.stores.report.close();
    await this.closeComponents();
    await this.closeConnections();
  }

  /** Stops every loop and timer; a planned shutdown and a kill both need all of this. */
  private async closeComponents(): Promise<void> {
    await this.configurationCatchUp.close();
    await this.dispatchAssignment.close();
    await Promise.all([this.configurationFollower.close(), this.submissions.claims.close()]);
    await this.peers.close();
    await this.placement.scheduler.close();
    await this.placement.quotas.close();
    await this.placement.queue.close();
    await this.ports.vmList.close();
    this.ports.processLoad.close();
  }

  /** Aborts the open requests to endpoints and to the log service. */
  private async closeConnections(): Promise<void> {
    await Promise.all([this.ports.endpoints.close(), this.ports.logService.close()]);
  }

  /** Composes the heartbeat that is sent to peers, with the quota notice. */
  private composeSentHeartbeat(): Heartbeat {
    return { ...this.composeHeartbeat(), quota: this.placement.quotas.composeNotice() };
  }

  /** Composes the heartbeat without the quota notice. */
  private composeHeartbeat(): Heartbeat {
    return {
      vmId: this.identity.vmId,
      incarnation: this.incarnation,
      failureDomainId: this.identity.failureDomainId,
      state: this.peers.isLeaving(this.identity.vmId) ? 'leaving' : this.state,
      weight: this.identity.weight,
      freeSlots: this.placement.scheduler.freeSlots,
      waitingTasks: this.placement.scheduler.waitingTasks,
      configurationVersion: this.stores.configuration.version,
      inheritanceVersion: this.stores.adoptedTables.version,
    };
  }
}
