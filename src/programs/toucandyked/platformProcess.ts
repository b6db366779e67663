/**
 * Wires one daemon to the users' platform.
 */
import { WorkerClient } from '../../../platform/workerClient.js';
import { JobFront } from '../../../platform/jobFront.js';
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
import { FleetDaemon } from '../../fleet/fleetDaemon.js';
import type { Clock } from '../../ports/clock.js';
import type { Logger } from '../../ports/logger.js';

/** The platform notices within this time that a VM takes no new connections. */
const noticeMs = 2_700;
const pollMs = 50;
/** Time before the kill at which jobs are answered that have not ended. */
const killMarginMs = 700;
/** The store takes a member for gone after this time, in milliseconds. */
const memberTtlMs = 2_000;

export class PlatformProcess {
  private constructor(
    private readonly settings: PlatformSettings,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly daemon: FleetDaemon,
    private readonly front: JobFront,
    private readonly peers: FleetRpcServer,
    private readonly metrics: PromMetrics,
  ) {}

  /**
   * Starts a daemon with all its interfaces.
   *
   * @param settings - what the platform says
   * @param writeLog - takes the log's lines; they go to the standard output without it
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
    const calls = StoreClient.create({
      address: settings.storeAddress,
      shardCount: settings.shardCount,
      memberTtlMs: Math.max(memberTtlMs, settings.minMemberTtlMs),
    });
    const store = MeteredStore.create({ store: calls, metrics, clock });
    const daemon = FleetDaemon.create(
      {
        member,
        failureDomainIds,
        leaseMs: settings.maxLeaseMs,
        farRackFactor: settings.farRackFactor,
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
      service: daemon,
      logger,
    });
    const front = await JobFront.create({
      callers: splitAddress(listen.callers),
      readiness: splitAddress(listen.readiness),
      service: daemon.intake,
      logger,
    });
    await metrics.serve(splitAddress(settings.metricsAddress));
    const log = logger.forPart('process');
    log.info('The daemon has started.', { nodeId: member.incarnation, address: listen.callers });
    return new PlatformProcess(settings, clock, log, daemon, front, peers, metrics);
  }

  get isReady(): boolean {
    return this.daemon.intake.isReady();
  }

  /** @returns IP number and port that callers reach */
  get callersAddress(): string {
    return this.front.address;
  }

  /** @returns workers that this daemon orders and that may get tasks */
  get openWorkerCount(): number {
    return this.daemon.openWorkerCount;
  }

  /** Drops everything at once, as a killed process does. */
  async kill(): Promise<void> {
    await Promise.all([this.front.kill(), this.peers.kill(), this.metrics.close()]);
    await this.daemon.close();
  }

  /** Stops as planned: takes no new callers, hands the workers over, answers what runs. */
  async close(): Promise<void> {
    const { clock, daemon, front, settings } = this;
    const endAtMs = clock.nowMs() + settings.stopGraceMs - killMarginMs;
    this.logger.info('The daemon stops as planned.', { count: daemon.jobCount });
    const handedOver = daemon.drain();
    front.drain();
    await clock.sleep(noticeMs);
    daemon.stopTaking();
    const closed = front.close();
    while (daemon.jobCount > 0 && clock.nowMs() < endAtMs) {
      front.closeIdle();
      await clock.sleep(pollMs);
    }
    daemon.giveUpJobs();
    await clock.sleep(pollMs);
    front.closeIdle();
    await Promise.race([
      Promise.all([handedOver, closed]),
      clock.sleep(Math.max(endAtMs - clock.nowMs(), pollMs)),
    ]);
    await this.front.kill();
    this.logger.info('The daemon has stopped.', { count: daemon.jobCount });
    await Promise.race([daemon.close(), clock.sleep(pollMs)]);
    await Promise.race([
      Promise.all([this.peers.kill(), this.metrics.close()]),
      clock.sleep(pollMs),
    ]);
  }
}
