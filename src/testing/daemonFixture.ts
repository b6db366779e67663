/**
 * Daemons on fakes: a fake clock, endpoints, log, VM list and links in memory.
 */
import { noMetrics } from '../adapters/system/noMetrics.js';
import { configurationStream } from '../configuration/configurationReader.js';
import type { Configuration } from '../types/configuration.js';
import { Daemon } from '../daemon/daemon.js';
import type { VmRecord } from '../ports/vmList.js';
import { FakeClock } from './fakeClock.js';
import { FakeEndpoints } from './fakeEndpoints.js';
import { FakeLogService } from './fakeLogService.js';
import { FakePeerNetwork } from './fakePeerNetwork.js';
import { FakeProcessLoad } from './fakeProcessLoad.js';
import { FakeVmList } from './fakeVmList.js';
import { createConfiguration, createRecord } from './fixtures.js';
import { SeededRandom } from './seededRandom.js';
import { silentLogger } from './silentLogger.js';

/** Time after which daemons have found one another. */
const meetMs = 2_500;

/** Several daemons that share one fake platform. */
export class DaemonFixture {
  readonly clock = FakeClock.create();
  readonly endpoints = FakeEndpoints.create(this.clock);
  readonly log = FakeLogService.create(this.clock);
  readonly vmList = FakeVmList.create();
  readonly network = FakePeerNetwork.create();
  readonly daemons = new Map<string, Daemon>();
  /** VMs whose daemons do not reach the log. */
  readonly cutOffFromLog = new Set<string>();
  private started = 0;

  private constructor(private readonly seed: number) {}

  /**
   * Starts daemons, publishes a configuration and lets them meet.
   *
   * @param vmIds - names like `muenchen-vm1`; the failure domain stands before the hyphen
   */
  static async create(
    vmIds: readonly string[],
    configuration: Configuration = createConfiguration(),
    seed = 1,
  ): Promise<DaemonFixture> {
    const fixture = new DaemonFixture(seed);
    await fixture.publish(1, configuration);
    vmIds.forEach((vmId) => fixture.start(vmId));
    await fixture.clock.advance(meetMs);
    return fixture;
  }

  async publish(version: number, configuration: Configuration): Promise<void> {
    const record = createRecord(version, configuration);
    const entry = { kind: 'publication', record };
    await this.log.append(configurationStream, [entry], AbortSignal.timeout(1_000));
  }

  start(vmId: string): Daemon {
    this.started += 1;
    const failureDomainId = vmId.split('-')[0] ?? '';
    const daemon = Daemon.create(
      { vmId, failureDomainId, weight: 1 },
      {
        clock: this.clock,
        random: SeededRandom.create(this.seed * 1_000 + this.started),
        logger: silentLogger,
        metrics: noMetrics,
        endpoints: this.endpoints,
        logService: this.log.reachedBy(() => this.cutOffFromLog.has(vmId)),
        vmList: this.vmList,
        peers: this.network.connectorOf(vmId),
        processLoad: FakeProcessLoad.create(),
      },
    );
    this.daemons.set(vmId, daemon);
    this.network.add(vmId, daemon);
    this.vmList.vms = [...this.vmList.vms, createVm(vmId, failureDomainId)];
    return daemon;
  }

  daemon(vmId: string): Daemon {
    const daemon = this.daemons.get(vmId);
    if (daemon === undefined) {
      throw new Error(`There is no daemon ${vmId}.`);
    }
    return daemon;
  }

  /** Makes a daemon unreachable for good; what it runs goes on unseen. */
  kill(vmId: string): void {
    this.network.remove(vmId);
    this.daemons.delete(vmId);
  }

  /** Stops a daemon as planned; the clock has to be advanced meanwhile. */
  async stop(vmId: string): Promise<void> {
    await this.daemon(vmId).close();
    this.network.remove(vmId);
    this.daemons.delete(vmId);
  }

  async close(): Promise<void> {
    const closed = Promise.all([...this.daemons.values()].map((daemon) => daemon.close()));
    await this.clock.advance(120_000);
    await closed;
  }
}

const createVm = (vmId: string, failureDomainId: string): VmRecord => ({
  vmId,
  failureDomainId,
  peerAddress: vmId,
  state: 'live',
  weight: 1,
});
