/**
 * Wires one daemon to its adapters and serves its interfaces.
 */
import { CallerHttpServer } from '../../adapters/callerHttp/callerHttpServer.js';
import { EndpointHttpClient } from '../../adapters/endpointHttp/endpointHttpClient.js';
import type { HttpServer } from '../../adapters/http/httpServer.js';
import { LogHttpClient } from '../../adapters/logHttp/logHttpClient.js';
import { OperatorHttpServer } from '../../adapters/operatorHttp/operatorHttpServer.js';
import { PeerRpcConnector } from '../../adapters/peerRpc/peerRpcClient.js';
import { PeerRpcServer } from '../../adapters/peerRpc/peerRpcServer.js';
import { noMetrics } from '../../adapters/system/noMetrics.js';
import { RoarrLogger } from '../../adapters/system/roarrLogger.js';
import { StatsdMetrics } from '../../adapters/system/statsdMetrics.js';
import { SystemClock } from '../../adapters/system/systemClock.js';
import { SystemProcessLoad } from '../../adapters/system/systemProcessLoad.js';
import { SystemRandom } from '../../adapters/system/systemRandom.js';
import { VmListHttpClient } from '../../adapters/vmListHttp/vmListHttpClient.js';
import { splitAddress } from '../../config/settings.js';
import type { Settings } from '../../config/settings.js';
import { SettingsFollower } from '../../config/settingsFollower.js';
import type { SettingsSource } from '../../config/settingsFollower.js';
import { Daemon } from '../../daemon/daemon.js';
import type { Ports } from '../../ports/ports.js';

export class DaemonProcess {
  private constructor(
    readonly daemon: Daemon,
    readonly callers: HttpServer,
    readonly operators: HttpServer,
    readonly peers: HttpServer,
    private readonly ports: Ports,
    private settings: Settings,
  ) {}

  /**
   * Starts a daemon with all its interfaces.
   *
   * @param settings - the validated settings
   * @param overrides - ports that replace the real adapters
   * @returns the running daemon
   */
  static async create(settings: Settings, overrides: Partial<Ports> = {}): Promise<DaemonProcess> {
    const ports = { ...createPorts(settings), ...overrides };
    const daemon = Daemon.create(settings, ports);
    const { logger } = ports;
    const { listen, tokens } = settings;
    const callers = await CallerHttpServer.create({
      ...splitAddress(listen.callers),
      service: daemon,
      logger,
    });
    const operators = await OperatorHttpServer.create({
      ...splitAddress(listen.operators),
      token: tokens.operators,
      service: daemon,
      logger,
    });
    const peers = await PeerRpcServer.create({
      ...splitAddress(listen.peers),
      token: tokens.peers,
      service: daemon,
      logger,
    });
    return new DaemonProcess(daemon, callers, operators, peers, ports, settings);
  }

  /**
   * Applies changes of the settings file from now on.
   *
   * @param source - reads and decodes the file
   * @param liveFields - fields that take effect without a restart
   */
  followSettings(
    source: SettingsSource<Settings>,
    liveFields: readonly (keyof Settings)[],
  ): SettingsFollower<Settings> {
    const { clock, logger, metrics } = this.ports;
    return SettingsFollower.create({
      clock,
      logger,
      metrics,
      source,
      initial: this.settings,
      liveFields,
      apply: (changed) => this.applySettings(changed),
    });
  }

  /** Planned shutdown: accepts no new submissions, finishes and answers running jobs, then closes. */
  async close(): Promise<void> {
    this.daemon.drain();
    this.callers.drain();
    await this.ports.clock.sleep(this.settings.drainGraceMs);
    await this.callers.close();
    await this.daemon.close();
    await this.peers.close();
    await this.operators.close();
  }

  /** Closes every connection at once, as a killed process does. */
  async kill(): Promise<void> {
    await Promise.all([this.callers.kill(), this.peers.kill(), this.operators.kill()]);
    await this.daemon.kill();
  }

  private applySettings(settings: Settings): void {
    this.settings = settings;
    const { logger } = this.ports;
    if (logger instanceof RoarrLogger) {
      logger.setLevel(settings.logLevel);
    }
  }
}

const createPorts = (settings: Settings): Ports => {
  const clock = SystemClock.create();
  return {
    clock,
    random: SystemRandom.create(),
    logger: RoarrLogger.create(settings.logLevel, settings.vmId),
    metrics:
      settings.metrics === undefined
        ? noMetrics
        : StatsdMetrics.create({ ...splitAddress(settings.metrics), vmId: settings.vmId }),
    endpoints: EndpointHttpClient.create(clock),
    logService: LogHttpClient.create(settings.platform.logService),
    vmList: VmListHttpClient.create(settings.platform.vmList),
    peers: PeerRpcConnector.create(settings.tokens.peers),
    processLoad: SystemProcessLoad.create(),
  };
};
