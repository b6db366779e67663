/**
 * Links between daemons in memory; links can be cut, and answers lost.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { PeerConnector, PeerError, PeerLink, PeerService } from '../ports/peers.js';

/** Fault of the link from one address to another. */
export type LinkFault = 'none' | 'cut' | 'answer-lost';

export class FakePeerNetwork {
  private readonly services = new Map<string, PeerService>();
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

  /** Makes a daemon unreachable, as if it was killed. */
  remove(address: string): void {
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
    return { connect: (to) => this.link(from, to) };
  }

  private link(from: string, to: string): PeerLink {
    const call = <T>(serve: (service: PeerService) => T | Promise<T>) => this.call(from, to, serve);
    return {
      heartbeat: (own) => call((service) => service.heartbeat(own)),
      forward: (request) => call((service) => service.forward(request)),
      status: (request) => call((service) => service.statusForwarded(request)),
      cancel: (request) => call((service) => service.cancelForwarded(request)),
      handOver: (batch) => call((service) => service.handOver(structuredClone(batch))),
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
