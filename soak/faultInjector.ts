/**
 * Injects the planned faults. Each fault runs in one async function, from its start until it is healed.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { unreachable } from '../src/errors/unreachable.js';
import type { FaultyProxy } from './faultyProxy.js';
import type { Fault, LinkPlace, PlannedFault } from './faults.js';
import type { SoakCallers } from './soakCallers.js';
import type { SoakDaemon, SoakFleet, SoakWorker } from './soakFleet.js';

/** Time between a planned stop of a daemon and its restart, in milliseconds. */
const restartPauseMs = 300;
/** Time from a repeated kill to the restart, and from that to the next kill, in milliseconds. */
const restartAfterKillMs = 500;
const nextKillMs = 150;

export class FaultInjector {
  /** Ids of VMs whose daemon exceeded the grace period of a planned stop or exited with an error. */
  readonly failedStops: string[] = [];

  private constructor(
    private readonly fleet: SoakFleet,
    private readonly callers: SoakCallers,
  ) {}

  /** Creates an injector; the callers send the planned requests. */
  static create(fleet: SoakFleet, callers: SoakCallers): FaultInjector {
    return new FaultInjector(fleet, callers);
  }

  /** Injects every fault at its time; resolves when all are healed and all requests have ended. */
  async run(planned: readonly PlannedFault[]): Promise<void> {
    await Promise.all(
      planned.map(async ({ atMs, fault }) => {
        await sleep(atMs);
        await this.inject(fault);
      }),
    );
  }

  private async inject(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'kill':
        return this.kill(fault.daemon, fault.durationMs);
      case 'planned-stop':
        return this.stop(fault.daemon);
      case 'reload':
        this.reload(fault.daemon, fault.signals);
        return;
      case 'pause':
        return this.pause(fault.daemon, fault.durationMs);
      case 'slow':
        return this.slowDown(fault);
      case 'link':
        return this.injectLinkFault(fault);
      case 'reset':
        this.reset(fault.place, fault.index);
        return;
      case 'store':
        this.fleet.store.fault = fault.state;
        await sleep(fault.durationMs);
        this.fleet.store.fault = 'none';
        return;
      case 'store-compacts':
        this.fleet.compactStore();
        return;
      case 'worker': {
        const { worker } = this.workerAt(fault.index);
        worker.fault = fault.fault;
        await sleep(fault.durationMs);
        worker.fault = { kind: 'none' };
        return;
      }
      case 'routes':
        this.fleet.publishRoutes(fault.count);
        return;
      case 'kill-again':
        return this.killAgain(fault.daemon, fault.kills);
      case 'worker-crash':
        return this.workerAt(fault.index).worker.crash(fault.durationMs);
      case 'invalid-entry': {
        const restore = this.fleet.publishInvalidEntry(fault.entry, fault.index, fault.isOwnKey);
        await sleep(fault.durationMs);
        restore();
        return;
      }
      case 'request':
        return this.callers.sendPlanned(fault.request);
      default:
        return unreachable(fault);
    }
  }

  private async kill(daemon: number, durationMs: number): Promise<void> {
    const { child } = this.daemonAt(daemon);
    const endDisruption = this.fleet.disruptions.begin(daemon);
    await child.kill();
    await sleep(durationMs);
    await child.start();
    endDisruption();
  }

  /** Kills the daemon, and again each time that it has started, before it answers. */
  private async killAgain(daemon: number, kills: number): Promise<void> {
    const { child } = this.daemonAt(daemon);
    const endDisruption = this.fleet.disruptions.begin(daemon);
    for (let count = 0; count < kills; count += 1) {
      await sleep(count === 0 ? 0 : nextKillMs);
      await child.kill();
      await sleep(restartAfterKillMs);
      await child.start();
    }
    endDisruption();
  }

  private async stop(daemon: number): Promise<void> {
    const { child } = this.daemonAt(daemon);
    const endDisruption = this.fleet.disruptions.begin(daemon);
    const wasClean = await child.stop();
    if (!wasClean) {
      this.failedStops.push(child.vmId);
    }
    await sleep(restartPauseMs);
    await child.start();
    endDisruption();
  }

  /** Changes the settings file in a field that a running daemon keeps, and says so by signals. */
  private reload(daemon: number, signals: number): void {
    const { child } = this.daemonAt(daemon);
    child.writeSettings(child.composeSettings({ cpuShare: 1 + signals / 10 }));
    for (let signal = 0; child.handlesReload && signal < signals; signal += 1) {
      child.reload();
    }
  }

  private async pause(daemon: number, durationMs: number): Promise<void> {
    const { child } = this.daemonAt(daemon);
    const endDisruption = this.fleet.disruptions.begin(daemon);
    child.pause();
    await sleep(durationMs);
    child.resume();
    endDisruption();
  }

  /** Pauses the daemon for a part of each period, also a process that is started meanwhile. */
  private async slowDown({
    daemon,
    pausedMs,
    periodMs,
    durationMs,
  }: Extract<Fault, { kind: 'slow' }>): Promise<void> {
    const { child } = this.daemonAt(daemon);
    const endDisruption = this.fleet.disruptions.begin(daemon);
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      child.pause();
      await sleep(pausedMs);
      child.resume();
      await sleep(periodMs - pausedMs);
    }
    endDisruption();
  }

  private async injectLinkFault({
    place,
    index,
    fault,
    durationMs,
  }: Extract<Fault, { kind: 'link' }>): Promise<void> {
    const proxy = this.proxyAt(place, index);
    const endDisruption = place === 'callers' ? this.fleet.disruptions.begin(index) : undefined;
    proxy.setFault(fault);
    await sleep(durationMs);
    proxy.setFault({ kind: 'none' });
    endDisruption?.();
  }

  private reset(place: LinkPlace, index: number): void {
    const endDisruption = place === 'callers' ? this.fleet.disruptions.begin(index) : undefined;
    this.proxyAt(place, index).resetConnections();
    endDisruption?.();
  }

  private proxyAt(place: LinkPlace, index: number): FaultyProxy {
    switch (place) {
      case 'callers':
        return this.daemonAt(index).callers;
      case 'store':
        return this.daemonAt(index).store;
      case 'worker':
        return this.workerAt(index).proxy;
      default:
        return unreachable(place);
    }
  }

  private daemonAt(index: number): SoakDaemon {
    const daemon = this.fleet.daemons[index];
    if (daemon === undefined) {
      throw new Error(`The fleet has no daemon ${index}.`);
    }
    return daemon;
  }

  private workerAt(index: number): SoakWorker {
    const worker = this.fleet.workers[index];
    if (worker === undefined) {
      throw new Error(`The fleet has no worker ${index}.`);
    }
    return worker;
  }
}
