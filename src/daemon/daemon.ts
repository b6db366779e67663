/**
 * One daemon: wires the decisions to the ports and gives the front ends their services.
 */
import type { Result } from 'ts-results-es';
import { Claims } from '../claims/claims.js';
import { ConfigurationFollower } from '../configuration/configurationFollower.js';
import { PeerCatchUp } from '../configuration/peerCatchUp.js';
import { ConfigurationStore } from '../configuration/configurationStore.js';
import type { ConfigurationCheckpoint } from '../configuration/types.js';
import type { Problem } from '../errors/problem.js';
import type { Caller } from '../inventory/types.js';
import { JobTraces } from '../explain/jobTraces.js';
import { TracedEndpoints } from '../explain/tracedEndpoints.js';
import type { JobTrace } from '../explain/types.js';
import { followConfiguration } from '../jobs/configurationEffects.js';
import { JobRunner } from '../jobs/jobRunner.js';
import type { Submission } from '../jobs/types.js';
import { DispatchAssignment } from '../membership/dispatchAssignment.js';
import { PeerSet } from '../membership/peerSet.js';
import type { DaemonState, Heartbeat } from '../membership/types.js';
import { PassedTasks } from '../passing/passedTasks.js';
import { PeerSlots } from '../passing/peerSlots.js';
import { TaskPasser } from '../passing/taskPasser.js';
import { defaultPlacementRules } from '../placement/types.js';
import { followLimits } from '../limits/followLimits.js';
import { QuotaKeeper } from '../limits/quotaKeeper.js';
import { Scheduler } from '../placement/scheduler.js';
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
import { ServiceLevelReport } from '../report/serviceLevelReport.js';
import { depart } from '../submissions/departure.js';
import { HeirDirectory } from '../submissions/heirDirectory.js';
import { InheritedTables } from '../submissions/inheritedTables.js';
import { TaskQueue } from '../queue/taskQueue.js';
import { Admission } from '../submissions/admission.js';
import { Intake } from '../submissions/intake.js';
import { OwnerRouter } from '../submissions/ownerRouter.js';
import { OwnSubmissions } from '../submissions/ownSubmissions.js';
import { PlainKeys } from '../submissions/plainKeys.js';
import { formatOwner } from '../submissions/submissionKey.js';
import { SubmissionTable } from '../submissions/submissionTable.js';

const maxTableBytes = 64 * 1_048_576;
/** Events of jobs that are kept to explain them. */
const maxTraceEvents = 200_000;
const maxInheritedBytes = 64 * 1_048_576;
/** Window until the first configuration is in force. */
const defaultResubmissionWindowMs = 600_000;

/** Who a daemon is; from its settings. */
export interface DaemonIdentity {
  readonly vmId: string;
  readonly failureDomainId: string;
  /** Relative size of the VM. */
  readonly weight: number;
}

export class Daemon implements CallerService, OperatorService, PeerService {
  readonly incarnation: string;
  private readonly configuration = ConfigurationStore.create();
  private readonly table: SubmissionTable;
  private readonly inherited: InheritedTables;
  private readonly own: OwnSubmissions;
  private readonly claims: Claims;
  private readonly traces: JobTraces;
  private readonly report: ServiceLevelReport;
  private readonly queue: TaskQueue;
  private readonly quotas: QuotaKeeper;
  private readonly scheduler: Scheduler;
  private readonly peers: PeerSet;
  private readonly passedTasks: PassedTasks;
  private readonly intake: Intake;
  private readonly follower: ConfigurationFollower;
  private readonly catchUp: PeerCatchUp;
  private readonly assignment: DispatchAssignment;
  private state: DaemonState = 'active';

  private constructor(
    private readonly identity: DaemonIdentity,
    private readonly ports: Ports,
  ) {
    const { clock, logger, random } = ports;
    const incarnation = random.id();
    this.incarnation = incarnation;
    const windowMs = () =>
      this.configuration.current?.rules.resubmissionWindowMs ?? defaultResubmissionWindowMs;
    this.table = SubmissionTable.create({ incarnation, clock, maxBytes: maxTableBytes, windowMs });
    this.inherited = InheritedTables.create({ clock, maxBytes: maxInheritedBytes, windowMs });
    this.queue = TaskQueue.create(clock);
    this.traces = JobTraces.create(clock, maxTraceEvents);
    this.report = ServiceLevelReport.create({
      vmId: identity.vmId,
      incarnation,
      clock,
      logger,
      logService: ports.logService,
      configuration: this.configuration,
      metrics: ports.metrics,
    });
    const { traces, report } = this;
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
    const { failureDomainId } = identity;
    const slots = PeerSlots.create({ failureDomainId, peers: this.peers });
    this.scheduler = Scheduler.create({
      incarnation,
      clock,
      random,
      logger,
      endpoints: TracedEndpoints.create({ endpoints: ports.endpoints, traces, clock }),
      queue: this.queue,
      passing: { slots, passer: TaskPasser.create({ clock, peers: this.peers, slots }) },
      rules: () => this.configuration.current?.rules ?? defaultPlacementRules,
    });
    this.passedTasks = PassedTasks.create({
      incarnation,
      clock,
      scheduler: this.scheduler,
      configuration: this.configuration,
      isTaking: () => this.state === 'active',
    });
    this.quotas = QuotaKeeper.create({
      ...identity,
      incarnation,
      clock,
      queue: this.queue,
      members: () => this.peers.domainMembers(),
    });
    followLimits(this.configuration, this.queue, this.quotas);
    this.peers.onHeartbeat((heard) => this.quotas.hear(heard.incarnation, heard.quota));
    const { configuration, table, inherited, peers } = this;
    const runner = JobRunner.create({ clock, scheduler: this.scheduler });
    followConfiguration(configuration, runner);
    const admission = Admission.create({
      queue: this.queue,
      processLoad: ports.processLoad,
      spareSlots: () => this.countSpareSlots(),
      quotaOf: (teamId) => this.quotas.reachOf(teamId),
    });
    this.own = OwnSubmissions.create({
      clock,
      random,
      configuration,
      runner,
      table,
      admission,
      traces,
      report,
    });
    const heirs = HeirDirectory.create(peers, clock);
    const router = OwnerRouter.create({ clock, peers, heirs });
    this.claims = Claims.create({
      logService: ports.logService,
      clock,
      logger,
      windowMs,
      countDaemons: () => peers.heard().length + 1,
    });
    const { own, claims } = this;
    const plainKeys = PlainKeys.create({ clock, claims, own });
    this.intake = Intake.create({ incarnation, configuration, own, inherited, router, plainKeys });
    this.assignment = DispatchAssignment.create({
      failureDomainId: identity.failureDomainId,
      clock,
      logger,
      configuration: this.configuration,
      peers: this.peers,
      ownHeartbeat: () => this.composeHeartbeat(),
      serve: (endpoints) => this.scheduler.serve(endpoints),
    });
    this.follower = ConfigurationFollower.create({
      logService: ports.logService,
      clock,
      logger,
      store: this.configuration,
      checkpointRank: () => this.peers.rankOf('checkpoint'),
    });
    this.catchUp = PeerCatchUp.create({
      clock,
      logger,
      store: this.configuration,
      follower: this.follower,
      peers: this.peers,
    });
  }

  static create(identity: DaemonIdentity, ports: Ports): Daemon {
    return new Daemon(identity, ports);
  }

  get configurationVersion(): number {
    return this.configuration.version;
  }

  authenticate(tokenSha256: string): Caller | undefined {
    return this.configuration.current?.inventory.callerByToken(tokenSha256);
  }

  owner(): string {
    return formatOwner(this.table.owner);
  }

  isReady(): boolean {
    return this.state === 'active' && this.configuration.current !== undefined;
  }

  submit(
    caller: Caller,
    keyText: string,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome> {
    return this.intake.submit(caller, keyText, body);
  }

  status(caller: Caller, keyText: string, waitMs: number): Promise<Result<JobStatus, Problem>> {
    return this.intake.status(caller, keyText, waitMs);
  }

  cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>> {
    return this.intake.cancel(caller, keyText);
  }

  lookup(caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome> {
    return this.intake.lookup(caller, body);
  }

  heartbeat(theirs: Heartbeat): Heartbeat {
    this.peers.receive(theirs);
    return this.composeSentHeartbeat();
  }

  forward(request: ForwardedSubmission): Promise<SubmitOutcome> {
    return this.intake.submitForwarded(request);
  }

  statusForwarded(request: ForwardedStatus): Promise<StatusReply> {
    return this.intake.statusForwarded(request);
  }

  cancelForwarded(request: SubmissionRef): Promise<StatusReply> {
    return this.intake.cancelForwarded(request);
  }

  handOver(batch: HandOverBatch): HandOverReply {
    return this.inherited.accept(batch);
  }

  fetchInheritance(): Inheritance {
    return { incarnations: this.inherited.incarnations() };
  }

  passTasks(request: PassTasksRequest): Promise<PassTasksReply> {
    return this.passedTasks.receive(request);
  }

  withdrawPassed({ jobId }: WithdrawPassed): void {
    this.scheduler.withdraw(jobId);
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
    this.own.stopTaking();
    this.assignment.refresh();
  }

  describe(): DaemonStatus {
    return {
      own: this.composeHeartbeat(),
      peers: this.peers.heard(),
      unheardVmIds: this.peers.unheardVmIds(),
      endpoints: this.assignment.describe(),
      rememberedSubmissions: this.table.size,
    };
  }

  jobTraces(name: string): JobTrace[] {
    return this.traces.find(name);
  }

  serviceLevels(): ServiceLevels {
    const objectives = this.configuration.current?.rules.serviceLevelObjectives ?? [];
    return { vmId: this.identity.vmId, objectives, sums: this.report.unwritten() };
  }

  /** Drops everything at once, as a killed process does. */
  async kill(): Promise<void> {
    await this.closeConnections();
    await this.report.kill();
    await this.closeParts();
  }

  /** Stops as planned: what runs ends, and a peer takes the memory of submissions over. */
  async close(): Promise<void> {
    this.drain();
    const { clock, logger } = this.ports;
    const { peers, own, table, inherited } = this;
    await depart({ clock, logger: logger.forPart('departure'), peers, own, table, inherited });
    await this.report.close();
    await this.closeParts();
    await this.closeConnections();
  }

  /** Ends every loop and timer; both ways to end a daemon need all of them. */
  private async closeParts(): Promise<void> {
    await this.catchUp.close();
    await this.assignment.close();
    await Promise.all([this.follower.close(), this.claims.close()]);
    await this.peers.close();
    await this.scheduler.close();
    await this.quotas.close();
    await this.queue.close();
    await this.ports.vmList.close();
    this.ports.processLoad.close();
  }

  /** Cuts what runs on endpoints and waits for the log. */
  private async closeConnections(): Promise<void> {
    await Promise.all([this.ports.endpoints.close(), this.ports.logService.close()]);
  }

  /** Free slots that the daemons of this failure domain have told. */
  private countSpareSlots(): number {
    return this.peers
      .heard()
      .filter(({ failureDomainId }) => failureDomainId === this.identity.failureDomainId)
      .reduce((sum, { freeSlots }) => sum + freeSlots, 0);
  }

  private composeSentHeartbeat(): Heartbeat {
    return { ...this.composeHeartbeat(), quota: this.quotas.composeNotice() };
  }

  private composeHeartbeat(): Heartbeat {
    return {
      vmId: this.identity.vmId,
      incarnation: this.incarnation,
      failureDomainId: this.identity.failureDomainId,
      state: this.peers.isLeaving(this.identity.vmId) ? 'leaving' : this.state,
      weight: this.identity.weight,
      freeSlots: this.scheduler.freeSlots,
      waitingTasks: this.scheduler.waitingTasks,
      configurationVersion: this.configuration.version,
      inheritanceVersion: this.inherited.version,
    };
  }
}
