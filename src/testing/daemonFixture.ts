/**
 * Test fixture: daemons in one process whose ports are in-memory fakes (clock, endpoints, log
 * service, VM list and peer links).
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

/** Time in which daemons that start together discover one another, in milliseconds. */
const discoveryMs = 2_500;

/** Several daemons that share one fake clock, platform and set of endpoints. */
export class DaemonFixture {
  readonly clock = FakeClock.create();
  readonly endpoints = FakeEndpoints.create(this.clock);
  readonly log = FakeLogService.create(this.clock);
  readonly vmList = FakeVmList.create();
  readonly network = FakePeerNetwork.create();
  readonly daemons = new Map<string, Daemon>();
  /** Ids of the VMs whose daemons cannot reach the log service. */
  readonly cutOffFromLog = new Set<string>();
  private started = 0;

  private constructor(private readonly seed: number) {}

  /**
   * Publishes a configuration as version 1, starts the daemons and advances the clock until they have
   * discovered one another.
   *
   * @param vmIds - ids like `muenchen-vm1`; the part before the hyphen is the failure domain
   * @param seed - makes the random numbers of every daemon reproducible
   */
  static async create(
    vmIds: readonly string[],
    configuration: Configuration = createConfiguration(),
    seed = 1,
  ): Promise<DaemonFixture> {
    const fixture = new DaemonFixture(seed);
    await fixture.publish(1, configuration);
    vmIds.forEach((vmId) => fixture.start(vmId));
    await fixture.clock.advance(discoveryMs);
    return fixture;
  }

  /** Appends a configuration to the log, as version `version` on top of the one before. */
  async publish(version: number, configuration: Configuration): Promise<void> {
    const record = createRecord(version, configuration);
    const entry = { kind: 'publication', record };
    await this.log.append(configurationStream, [entry], AbortSignal.timeout(1_000));
  }

  /** Starts a daemon, connects it to its peers and adds its VM to the VM list. */
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
        logService: this.log.createClient(() => this.cutOffFromLog.has(vmId)),
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

  /** @returns the running daemon of a VM; throws where there is none */
  daemon(vmId: string): Daemon {
    const daemon = this.daemons.get(vmId);
    if (daemon === undefined) {
      throw new Error(`No daemon runs on VM ${vmId}.`);
    }
    return daemon;
  }

  /**
   * Cuts all links between a daemon and its peers for good, which to them looks like a killed process.
   * The daemon object is not stopped: tasks that it has started continue at their endpoints.
   */
  kill(vmId: string): void {
    this.network.remove(vmId);
    this.daemons.delete(vmId);
  }

  /** Shuts a daemon down gracefully. It waits on the fake clock, which the test has to advance. */
  async stop(vmId: string): Promise<void> {
    await this.daemon(vmId).close();
    this.network.remove(vmId);
    this.daemons.delete(vmId);
  }

  /** Shuts all daemons down, and advances the clock far enough for them to finish. */
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
