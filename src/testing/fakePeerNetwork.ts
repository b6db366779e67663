/**
 * Links between daemons in memory; links can be cut, and answers lost.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { PeerConnector, PeerError, PeerLink, PeerService } from '../ports/peers.js';

/** Fault of the link from one address to another. */
export type LinkFault = 'none' | 'cut' | 'answer-lost';

export class FakePeerNetwork {
  /** Heartbeats that were sent. */
  heartbeatCount = 0;
  /** Submissions that daemons forwarded. */
  forwardCount = 0;
  private readonly services = new Map<string, PeerService>();
  /** How often each address was removed; a removed daemon reaches nobody. */
  private readonly removals = new Map<string, number>();
  private readonly faults = new Map<string, LinkFault>();

  private constructor() {
    // Built by create.
  }

  static create(): FakePeerNetwork {
    return new FakePeerNetwork();
  }

  /** Makes a daemon reachable. */
  add(address: string, service: PeerService): void {
    this.services.set(address, service);
  }

  /** Makes a daemon unreachable and unable to reach others, as if it was killed. */
  remove(address: string): void {
    this.removals.set(address, this.removalsOf(address) + 1);
    this.services.delete(address);
  }

  setFault(from: string, to: string, fault: LinkFault): void {
    this.faults.set(`${from} ${to}`, fault);
  }

  /** Cuts or heals both directions. */
  setCut(a: string, b: string, isCut: boolean): void {
    this.setFault(a, b, isCut ? 'cut' : 'none');
    this.setFault(b, a, isCut ? 'cut' : 'none');
  }

  /**
   * Creates the connector of one daemon.
   *
   * @param from - the daemon's own address
   */
  connectorOf(from: string): PeerConnector {
    const removals = this.removalsOf(from);
    const isRemoved = (): boolean => this.removalsOf(from) !== removals;
    return { connect: (to) => this.link(from, to, isRemoved) };
  }

  private removalsOf(address: string): number {
    return this.removals.get(address) ?? 0;
  }

  private link(from: string, to: string, isRemoved: () => boolean): PeerLink {
    const call = <T>(serve: (service: PeerService) => T | Promise<T>) =>
      isRemoved() ? Promise.resolve(Err(removed)) : this.call(from, to, serve);
    return {
      heartbeat: (own) => {
        this.heartbeatCount += 1;
        return call((service) => service.heartbeat(own));
      },
      forward: (request) => {
        this.forwardCount += 1;
        return call((service) => service.forward(request));
      },
      status: (request) => call((service) => service.statusForwarded(request)),
      cancel: (request) => call((service) => service.cancelForwarded(request)),
      handOver: (batch) => call((service) => service.handOver(structuredClone(batch))),
      passTasks: (request) => call((service) => service.passTasks(structuredClone(request))),
      withdrawPassed: async (request) => {
        await call((service) => service.withdrawPassed(request));
      },
      fetchInheritance: () => call((service) => service.fetchInheritance()),
      fetchConfiguration: () => call((service) => service.fetchConfiguration()),
      close: () => Promise.resolve(),
    };
  }

  private async call<T>(
    from: string,
    to: string,
    serve: (service: PeerService) => T | Promise<T>,
  ): Promise<Result<T, PeerError>> {
    const service = this.services.get(to);
    if (service === undefined || this.faultOf(from, to) === 'cut') {
      return Err({ kind: 'not-sent', detail: `${to} cannot be reached.` });
    }
    const reply = await serve(service);
    const isLost = this.faultOf(from, to) !== 'none' || !this.services.has(to);
    return isLost ? Err({ kind: 'broken', detail: 'The answer was lost.' }) : Ok(reply);
  }

  private faultOf(from: string, to: string): LinkFault {
    return this.faults.get(`${from} ${to}`) ?? 'none';
  }
}

const removed: PeerError = { kind: 'not-sent', detail: 'The calling daemon was killed.' };
