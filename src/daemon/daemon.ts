/**
 * One daemon: wires the decisions to the ports and gives the front ends their services.
 */
import type { Result } from 'ts-results-es';
import { ConfigurationFollower } from '../configuration/configurationFollower.js';
import { ConfigurationStore } from '../configuration/configurationStore.js';
import type { ConfigurationRecord } from '../configuration/types.js';
import type { Problem } from '../errors/problem.js';
import type { Caller } from '../inventory/types.js';
import { JobRunner } from '../jobs/jobRunner.js';
import type { Submission } from '../jobs/types.js';
import { PeerSet } from '../membership/peerSet.js';
import { chooseOwner } from '../membership/rendezvous.js';
import type { DaemonState, Heartbeat } from '../membership/types.js';
import { defaultPlacementRules } from '../placement/types.js';
import { Scheduler } from '../placement/scheduler.js';
import type { CallerService, JobStatus } from '../ports/callers.js';
import type { DaemonStatus, OperatorService } from '../ports/operators.js';
import type { ForwardedSubmission, PeerService, SubmitOutcome } from '../ports/peers.js';
import type { Ports } from '../ports/ports.js';
import { Intake } from '../submissions/intake.js';
import { formatOwner } from '../submissions/submissionKey.js';
import type { Owner } from '../submissions/submissionKey.js';
import { SubmissionTable } from '../submissions/submissionTable.js';

/** Who a daemon is; from its settings. */
export interface DaemonIdentity {
  readonly vmId: string;
  readonly failureDomainId: string;
  /** Relative size of the VM. */
  readonly weight: number;
}

export class Daemon implements CallerService, OperatorService, PeerService {
  private readonly owned: Owner;
  private readonly configuration = ConfigurationStore.create();
  private readonly table = SubmissionTable.create();
  private readonly scheduler: Scheduler;
  private readonly peers: PeerSet;
  private readonly intake: Intake;
  private readonly follower: ConfigurationFollower;
  private state: DaemonState = 'active';

  private constructor(
    private readonly identity: DaemonIdentity,
    private readonly ports: Ports,
  ) {
    const { clock, logger, random } = ports;
    this.owned = { incarnation: random.id(), epoch: 1 };
    const { incarnation } = this.owned;
    this.scheduler = Scheduler.create({
      ...{ incarnation, clock, random, logger, endpoints: ports.endpoints },
      rules: () => this.configuration.current?.rules ?? defaultPlacementRules,
    });
    this.peers = PeerSet.create({
      vmId: identity.vmId,
      clock,
      logger,
      vmList: ports.vmList,
      connector: ports.peers,
      ownHeartbeat: () => this.composeHeartbeat(),
    });
    this.intake = Intake.create({
      owner: this.owned,
      clock,
      random,
      configuration: this.configuration,
      runner: JobRunner.create({ clock, scheduler: this.scheduler }),
      table: this.table,
      peers: this.peers,
    });
    this.configuration.onChange(() => this.assignEndpoints());
    this.peers.onChange(() => this.assignEndpoints());
    this.follower = ConfigurationFollower.create({
      logService: ports.logService,
      clock,
      logger,
      store: this.configuration,
    });
  }

  static create(identity: DaemonIdentity, ports: Ports): Daemon {
    return new Daemon(identity, ports);
  }

  get configurationVersion(): number {
    return this.configuration.version;
  }

  get incarnation(): string {
    return this.owned.incarnation;
  }

  authenticate(tokenSha256: string): Caller | undefined {
    return this.configuration.current?.inventory.callerByToken(tokenSha256);
  }

  owner(): string {
    return formatOwner(this.owned);
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

  heartbeat(_theirs: Heartbeat): Heartbeat {
    return this.composeHeartbeat();
  }

  forward(request: ForwardedSubmission): Promise<SubmitOutcome> {
    return this.intake.submitForwarded(request);
  }

  fetchConfiguration(): ConfigurationRecord | null {
    return this.configuration.current?.record ?? null;
  }

  /** Stops taking new submissions; what runs goes on. */
  drain(): void {
    this.state = 'leaving';
    this.intake.freeze();
  }

  describe(): DaemonStatus {
    return {
      own: this.composeHeartbeat(),
      peers: this.peers.heard(),
      rememberedSubmissions: this.table.size,
    };
  }

  /** Drops everything at once, as a killed process does. */
  async kill(): Promise<void> {
    await Promise.all([this.ports.endpoints.close(), this.ports.logService.close()]);
    await this.follower.close();
    await this.peers.close();
    await this.ports.vmList.close();
  }

  async close(): Promise<void> {
    this.drain();
    await this.follower.close();
    await this.peers.close();
    await this.scheduler.close();
    await this.ports.endpoints.close();
    await this.ports.logService.close();
    await this.ports.vmList.close();
  }

  private composeHeartbeat(): Heartbeat {
    return {
      vmId: this.identity.vmId,
      incarnation: this.owned.incarnation,
      failureDomainId: this.identity.failureDomainId,
      state: this.state,
      weight: this.identity.weight,
      freeSlots: this.scheduler.freeSlots,
      waitingTasks: this.scheduler.waitingTasks,
      configurationVersion: this.configuration.version,
    };
  }

  /** Serves the endpoints of this failure domain whose rendezvous owner is this daemon. */
  private assignEndpoints(): void {
    const active = this.configuration.current;
    if (active === undefined) {
      return;
    }
    const members = [this.composeHeartbeat(), ...this.peers.heard()].filter(
      (member) =>
        member.state === 'active' && member.failureDomainId === this.identity.failureDomainId,
    );
    const mine = [...active.inventory.endpoints.values()].filter(
      (placed) =>
        placed.failureDomainId === this.identity.failureDomainId &&
        placed.endpoint.state === 'active' &&
        chooseOwner(placed.endpoint.endpointId, members)?.incarnation === this.incarnation,
    );
    this.scheduler.serve(mine);
  }
}
