/**
 * Carries out the planned faults: one async function for each, from its beginning until it is healed.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { unreachable } from '../src/errors/unreachable.js';
import type { FaultyProxy } from './faultyProxy.js';
import type { Fault, LinkPlace, PlannedFault } from './faults.js';
import type { SoakDaemon, SoakFleet, SoakWorker } from './soakFleet.js';

/** Pause before a daemon that was stopped as planned starts again, in milliseconds. */
const restartPauseMs = 300;

export class Injector {
  /** Planned stops that took too long or ended in a failure. */
  readonly badStops: string[] = [];

  private constructor(private readonly fleet: SoakFleet) {}

  static create(fleet: SoakFleet): Injector {
    return new Injector(fleet);
  }

  /** Carries out every fault, and returns when all are healed. */
  async run(planned: readonly PlannedFault[]): Promise<void> {
    await Promise.all(
      planned.map(async ({ atMs, fault }) => {
        await sleep(atMs);
        await this.carryOut(fault);
      }),
    );
  }

  private async carryOut(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'kill':
        return this.kill(fault.daemon, fault.durationMs);
      case 'planned-stop':
        return this.stop(fault.daemon);
      case 'pause':
        return this.pause(fault.daemon, fault.durationMs);
      case 'link':
        return this.breakLink(fault);
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
      default:
        return unreachable(fault);
    }
  }

  private async kill(daemon: number, durationMs: number): Promise<void> {
    const { child } = this.daemonAt(daemon);
    const end = this.fleet.troubles.begin(daemon);
    await child.kill();
    await sleep(durationMs);
    await child.start();
    end();
  }

  private async stop(daemon: number): Promise<void> {
    const { child } = this.daemonAt(daemon);
    const end = this.fleet.troubles.begin(daemon);
    const wasClean = await child.stop();
    if (!wasClean) {
      this.badStops.push(child.vmId);
    }
    await sleep(restartPauseMs);
    await child.start();
    end();
  }

  private async pause(daemon: number, durationMs: number): Promise<void> {
    const { child } = this.daemonAt(daemon);
    const end = this.fleet.troubles.begin(daemon);
    child.pause();
    await sleep(durationMs);
    child.resume();
    end();
  }

  private async breakLink({
    place,
    index,
    fault,
    durationMs,
  }: Extract<Fault, { kind: 'link' }>): Promise<void> {
    const link = this.linkAt(place, index);
    const end = place === 'callers' ? this.fleet.troubles.begin(index) : undefined;
    link.setFault(fault);
    await sleep(durationMs);
    link.setFault({ kind: 'none' });
    end?.();
  }

  private reset(place: LinkPlace, index: number): void {
    const end = place === 'callers' ? this.fleet.troubles.begin(index) : undefined;
    this.linkAt(place, index).resetAll();
    end?.();
  }

  private linkAt(place: LinkPlace, index: number): FaultyProxy {
    switch (place) {
      case 'callers':
        return this.daemonAt(index).callers;
      case 'store':
        return this.daemonAt(index).store;
      case 'worker':
        return this.workerAt(index).link;
      default:
        return unreachable(place);
    }
  }

  private daemonAt(index: number): SoakDaemon {
    const daemon = this.fleet.daemons[index];
    if (daemon === undefined) {
      throw new Error(`There is no daemon ${index}.`);
    }
    return daemon;
  }

  private workerAt(index: number): SoakWorker {
    const worker = this.fleet.workers[index];
    if (worker === undefined) {
      throw new Error(`There is no worker ${index}.`);
    }
    return worker;
  }
}
