/**
 * Wires one daemon to the users' platform and serves its interfaces.
 */
import { WorkerClient } from '../../../platform/workerClient.js';
import { JobHttpServer } from '../../../platform/jobHttpServer.js';
import type { PlatformSettings } from '../../../platform/settings.js';
import { StoreClient } from '../../../platform/storeClient.js';
import { FleetRpcConnector } from '../../adapters/fleetRpc/fleetRpcClient.js';
import { FleetRpcServer } from '../../adapters/fleetRpc/fleetRpcServer.js';
import { MeteredStore } from '../../adapters/metered/meteredStore.js';
import { MeteredWorkers } from '../../adapters/metered/meteredWorkers.js';
import { PromMetrics } from '../../adapters/system/promMetrics.js';
import { RoarrLogger } from '../../adapters/system/roarrLogger.js';
import type { LineWriter } from '../../adapters/system/roarrLogger.js';
import { SystemClock } from '../../adapters/system/systemClock.js';
import { SystemRandom } from '../../adapters/system/systemRandom.js';
import { splitAddress } from '../../config/settings.js';
import { SettingsFollower } from '../../config/settingsFollower.js';
import type { SettingsSource } from '../../config/settingsFollower.js';
import { FleetDaemon } from '../../fleet/fleetDaemon.js';
import { stopAsPlanned } from '../../fleet/plannedStop.js';
import {
  minCallerResendMs,
  requesterRunsEndMs,
  runsEndBeforeResend,
} from '../../fleet/requesterTimes.js';
import { LimitReports } from '../../limits/limitReports.js';
import type { Clock } from '../../ports/clock.js';
import type { Logger } from '../../ports/logger.js';
import { TaskSupervisor } from '../../utils/taskSupervisor.js';

/** Time without a renewal after which the store removes a member; the platform may require more. */
const memberTtlMs = 2_000;

export class PlatformProcess {
  private constructor(
    private settings: PlatformSettings,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly daemon: FleetDaemon,
    private readonly front: JobHttpServer,
    private readonly peers: FleetRpcServer,
    private readonly metrics: PromMetrics,
    /** Reports errors that no task handles. */
    readonly supervisor: TaskSupervisor,
  ) {}

  /**
   * Starts a daemon with all its interfaces.
   *
   * @param settings - the settings that the platform provides
   * @param writeLog - receives each log line; the default is the standard output
   */
  static async create(settings: PlatformSettings, writeLog?: LineWriter): Promise<PlatformProcess> {
    const clock = SystemClock.create();
    const metrics = PromMetrics.create();
    const random = SystemRandom.create();
    const logger = RoarrLogger.create('info', settings.vmId, {
      write: writeLog,
      onDropped: (count) => metrics.count('log_lines_dropped', count),
    });
    const { failureDomainId, failureDomainIds, weight, listen } = settings;
    const member = { incarnation: random.id(), address: listen.peers, failureDomainId, weight };
    const storeClient = StoreClient.create({
      address: settings.storeAddress,
      shardCount: settings.shardCount,
      memberTtlMs: Math.max(memberTtlMs, settings.minMemberTtlMs),
      clock,
      onUnreadableMember: (address) =>
        logger
          .forPart('fleet')
          .warn('The name of a member in the store is not valid.', { address }),
    });
    const store = MeteredStore.create({ store: storeClient, metrics, clock });
    const daemon = FleetDaemon.create(
      {
        member,
        failureDomainIds,
        longestLeaseMs: settings.maxLeaseMs,
        callerResendMs: settings.callerResendMs,
        farRackFactor: settings.farRackFactor,
        stopGraceMs: settings.stopGraceMs,
        schedulingPolicy: settings.schedulingPolicy,
      },
      {
        clock,
        random,
        logger,
        store,
        metrics,
        workers: MeteredWorkers.create({ workers: WorkerClient.create(), metrics, clock }),
        connector: FleetRpcConnector.create(),
      },
    );
    const peers = await FleetRpcServer.create({
      ...splitAddress(listen.peers),
      service: daemon.peerService,
      logger,
    });
    const limitReports = LimitReports.create({ clock, logger, metrics });
    const front = await JobHttpServer.create({
      callers: splitAddress(listen.callers),
      readiness: splitAddress(listen.readiness),
      service: daemon.intake,
      connections: daemon.connections,
      clock,
      logger,
      clientLimits: settings.clientLimits,
      onLimitReached: (limit, outcome) => limitReports.record(limit, outcome),
    });
    await metrics.serve(splitAddress(settings.metricsAddress));
    const log = logger.forPart('process');
    log.info('The daemon has started.', { nodeId: member.incarnation, address: listen.callers });
    if (!runsEndBeforeResend(settings.callerResendMs)) {
      log.warn('Callers send jobs again before the runs of a lost daemon end.', {
        expectedMs: requesterRunsEndMs,
        leftMs: settings.callerResendMs ?? minCallerResendMs,
      });
    }
    const supervisor = TaskSupervisor.create({ clock, logger, metrics });
    return new PlatformProcess(settings, clock, log, daemon, front, peers, metrics, supervisor);
  }

  get isReady(): boolean {
    return this.daemon.intake.isReady();
  }

  /** @returns IP address and port that callers connect to */
  get callersAddress(): string {
    return this.front.address;
  }

  /** @returns the number of workers that this daemon dispatches to and that accept tasks */
  get openWorkerCount(): number {
    return this.daemon.openWorkerCount;
  }

  /**
   * Applies changes of the settings file from now on.
   *
   * @param source - reads and decodes the file
   * @param liveFields - fields that take effect without a restart
   */
  followSettings(
    source: SettingsSource<PlatformSettings>,
    liveFields: readonly (keyof PlatformSettings)[],
  ): SettingsFollower<PlatformSettings> {
    const { clock, logger, metrics, settings } = this;
    return SettingsFollower.create({
      clock,
      logger,
      metrics,
      source,
      initial: settings,
      liveFields,
      apply: (changed) => this.applySettings(changed),
    });
  }

  /** Closes every connection at once, as a killed process does. */
  async kill(): Promise<void> {
    await Promise.all([this.front.kill(), this.peers.kill(), this.metrics.close()]);
    await this.daemon.close();
  }

  /** Shuts down as planned, within the grace period of the platform. */
  async close(): Promise<void> {
    const { clock, daemon, front, settings } = this;
    this.logger.info('The daemon stops as planned.', { count: daemon.jobCount });
    await stopAsPlanned({
      ...{ clock, daemon, front, stopGraceMs: settings.stopGraceMs },
      closeInterfaces: () => Promise.all([this.peers.kill(), this.metrics.close()]),
    });
    this.logger.info('The daemon has stopped.', { count: daemon.jobCount });
  }

  private applySettings(settings: PlatformSettings): void {
    this.settings = settings;
    this.daemon.setFailureDomains(settings.failureDomainIds);
  }
}
