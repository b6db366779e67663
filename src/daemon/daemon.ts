/**
 * One daemon: wires the decisions to the ports and gives the front ends their services.
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
  Inheritance,
  PassTasksReply,
  PassTasksRequest,
  PeerService,
  StatusReply,
  SubmissionRef,
  SubmitOutcome,
  WithdrawPassed,
} from '../ports/peers.js';
import type { Ports } from '../ports/ports.js';
import { shutDownSubmissions } from '../submissions/departure.js';
import { formatOwner } from '../submissions/submissionKey.js';
import type { ConfigurationCheckpoint } from '../types/configuration.js';
import type { JobTrace } from '../types/explain.js';
import type { Caller } from '../types/inventory.js';
import type { Submission } from '../types/jobs.js';
import type { DaemonState, Heartbeat } from '../types/membership.js';
import type { DaemonIdentity } from './daemonIdentity.js';
import { createMemory } from './daemonMemory.js';
import type { DaemonMemory } from './daemonMemory.js';
import { createPlacement } from './daemonPlacement.js';
import type { DaemonPlacement } from './daemonPlacement.js';
import { createSubmissions } from './daemonSubmissions.js';
import type { DaemonSubmissions } from './daemonSubmissions.js';

export class Daemon implements CallerService, OperatorService, PeerService {
  readonly incarnation: string;
  private readonly memory: DaemonMemory;
  private readonly peers: PeerSet;
  private readonly placement: DaemonPlacement;
  private readonly submissions: DaemonSubmissions;
  private readonly assignment: DispatchAssignment;
  private readonly follower: ConfigurationFollower;
  private readonly catchUp: PeerCatchUp;
  private state: DaemonState = 'active';

  private constructor(
    private readonly identity: DaemonIdentity,
    private readonly ports: Ports,
  ) {
    const { clock, logger, random, logService } = ports;
    const incarnation = random.id();
    this.incarnation = incarnation;
    this.memory = createMemory(identity, incarnation, ports);
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
    const { memory, peers } = this;
    const shared = { identity, incarnation, ports, memory, peers };
    this.placement = createPlacement({
      ...shared,
      isTaking: () => this.state === 'active',
    });
    this.submissions = createSubmissions({ ...shared, placement: this.placement });
    this.assignment = DispatchAssignment.create({
      failureDomainId: identity.failureDomainId,
      clock,
      logger,
      configuration: memory.configuration,
      peers,
      ownHeartbeat: () => this.composeHeartbeat(),
      serve: (endpoints) => this.placement.scheduler.serve(endpoints),
    });
    this.follower = ConfigurationFollower.create({
      logService,
      clock,
      logger,
      store: memory.configuration,
      checkpointRank: () => peers.rankOf('checkpoint'),
    });
    this.catchUp = PeerCatchUp.create({
      clock,
      logger,
      store: memory.configuration,
      follower: this.follower,
      peers,
    });
  }

  static create(identity: DaemonIdentity, ports: Ports): Daemon {
    return new Daemon(identity, ports);
  }

  get configurationVersion(): number {
    return this.memory.configuration.version;
  }

  authenticate(tokenSha256: string): Caller | undefined {
    return this.memory.configuration.current?.inventory.callerByToken(tokenSha256);
  }

  owner(): string {
    return formatOwner(this.memory.table.owner);
  }

  isReady(): boolean {
    return this.state === 'active' && this.memory.configuration.current !== undefined;
  }

  submit(
    caller: Caller,
    keyText: string,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome> {
    return this.submissions.intake.submit(caller, keyText, body);
  }

  status(caller: Caller, keyText: string, waitMs: number): Promise<Result<JobStatus, Problem>> {
    return this.submissions.intake.status(caller, keyText, waitMs);
  }

  cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>> {
    return this.submissions.intake.cancel(caller, keyText);
  }

  lookup(caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome> {
    return this.submissions.intake.lookup(caller, body);
  }

  heartbeat(theirs: Heartbeat): Heartbeat {
    this.peers.receive(theirs);
    return this.composeSentHeartbeat();
  }

  forward(request: ForwardedSubmission): Promise<SubmitOutcome> {
    return this.submissions.intake.submitLocally(request);
  }

  statusForwarded(request: ForwardedStatus): Promise<StatusReply> {
    return this.submissions.intake.statusLocally(request);
  }

  cancelForwarded(request: SubmissionRef): Promise<StatusReply> {
    return this.submissions.intake.cancelLocally(request);
  }

  handOver(batch: HandOverBatch): HandOverReply {
    return this.memory.inherited.addBatch(batch);
  }

  fetchInheritance(): Inheritance {
    return { incarnations: this.memory.inherited.incarnations() };
  }

  passTasks(request: PassTasksRequest): Promise<PassTasksReply> {
    return this.placement.passedTasks.receive(request);
  }

  withdrawPassed({ jobId }: WithdrawPassed): void {
    this.placement.scheduler.withdraw(jobId);
  }

  fetchConfiguration(): ConfigurationCheckpoint | null {
    return this.follower.checkpoint() ?? null;
  }

  refreshPeers(): Promise<void> {
    return this.peers.refresh();
  }

  /** Stops taking new submissions; what runs goes on. */
  drain(): void {
    this.state = 'leaving';
    this.submissions.own.stopAccepting();
    this.assignment.refresh();
  }

  describe(): DaemonStatus {
    return {
      own: this.composeHeartbeat(),
      peers: this.peers.heard(),
      unheardVmIds: this.peers.unheardVmIds(),
      endpoints: this.assignment.describe(),
      rememberedSubmissions: this.memory.table.size,
    };
  }

  jobTraces(name: string): JobTrace[] {
    return this.memory.traces.find(name);
  }

  serviceLevels(): ServiceLevels {
    const objectives = this.memory.configuration.current?.rules.serviceLevelObjectives ?? [];
    return { vmId: this.identity.vmId, objectives, sums: this.memory.report.unwritten() };
  }

  /** Drops everything at once, as a killed process does. */
  async kill(): Promise<void> {
    await this.closeConnections();
    await this.memory.report.kill();
    await this.closeParts();
  }

  /** Stops as planned: what runs ends, and a peer takes the memory of submissions over. */
  async close(): Promise<void> {
    this.drain();
    const { clock, logger } = this.ports;
    const { peers } = this;
    const { own } = this.submissions;
    const { table, inherited } = this.memory;
    await shutDownSubmissions({
      clock,
      logger: logger.forPart('departure'),
      peers,
      own,
      submissionTable: table,
      adoptedTables: inherited,
    });
    await this.memory.report.close();
    await this.closeParts();
    await this.closeConnections();
  }

  /** Ends every loop and timer; both ways to end a daemon need all of them. */
  private async closeParts(): Promise<void> {
    await this.catchUp.close();
    await this.assignment.close();
    await Promise.all([this.follower.close(), this.submissions.claims.close()]);
    await this.peers.close();
    await this.placement.scheduler.close();
    await this.placement.quotas.close();
    await this.placement.queue.close();
    await this.ports.vmList.close();
    this.ports.processLoad.close();
  }

  /** Cuts what runs on endpoints and waits for the log. */
  private async closeConnections(): Promise<void> {
    await Promise.all([this.ports.endpoints.close(), this.ports.logService.close()]);
  }

  private composeSentHeartbeat(): Heartbeat {
    return { ...this.composeHeartbeat(), quota: this.placement.quotas.composeNotice() };
  }

  private composeHeartbeat(): Heartbeat {
    return {
      vmId: this.identity.vmId,
      incarnation: this.incarnation,
      failureDomainId: this.identity.failureDomainId,
      state: this.peers.isLeaving(this.identity.vmId) ? 'leaving' : this.state,
      weight: this.identity.weight,
      freeSlots: this.placement.scheduler.freeSlots,
      waitingTasks: this.placement.scheduler.waitingTasks,
      configurationVersion: this.memory.configuration.version,
      inheritanceVersion: this.memory.inherited.version,
    };
  }
}
