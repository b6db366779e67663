/**
 * Links between daemons in memory, which can be cut or lose their answers.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { PeerConnector, PeerError, PeerLink, PeerService } from '../ports/peers.js';

/**
 * Fault of the link from one address to another. `cut`: requests are not delivered. `answer-lost`:
 * requests are carried out, but the caller gets an error.
 */
export type LinkFault = 'none' | 'cut' | 'answer-lost';

export class FakePeerNetwork {
  /** Heartbeats sent so far, also those that were not delivered. */
  heartbeatCount = 0;
  /** Submissions forwarded so far, also those that were not delivered. */
  forwardCount = 0;
  private readonly services = new Map<string, PeerService>();
  /**
   * How often each address was removed. A connector works until its address is removed again, so that a
   * daemon restarted at the address reaches its peers and its predecessor does not.
   */
  private readonly removalCounts = new Map<string, number>();
  private readonly faults = new Map<string, LinkFault>();

  private constructor() {
    // Built by create.
  }

  static create(): FakePeerNetwork {
    return new FakePeerNetwork();
  }

  /** Makes a daemon reachable under an address. */
  add(address: string, service: PeerService): void {
    this.services.set(address, service);
  }

  /** Cuts a daemon off from its peers in both directions, as if its process had been killed. */
  remove(address: string): void {
    this.removalCounts.set(address, this.removalCountOf(address) + 1);
    this.services.delete(address);
  }

  setFault(from: string, to: string, fault: LinkFault): void {
    this.faults.set(`${from} ${to}`, fault);
  }

  /** Cuts or restores the link between two addresses in both directions. */
  setCut(a: string, b: string, isCut: boolean): void {
    this.setFault(a, b, isCut ? 'cut' : 'none');
    this.setFault(b, a, isCut ? 'cut' : 'none');
  }

  /**
   * Creates the connector through which one daemon reaches its peers.
   *
   * @param from - the daemon's own address
   */
  connectorOf(from: string): PeerConnector {
    const removals = this.removalCountOf(from);
    const isRemoved = (): boolean => this.removalCountOf(from) !== removals;
    return { connect: (to) => this.createLink(from, to, isRemoved) };
  }

  private removalCountOf(address: string): number {
    return this.removalCounts.get(address) ?? 0;
  }

  private createLink(from: string, to: string, isRemoved: () => boolean): PeerLink {
    const call = <T>(serve: (service: PeerService) => T | Promise<T>) =>
      isRemoved() ? Promise.resolve(Err(callerRemovedError)) : this.call(from, to, serve);
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

  /** Delivers a request; a link that is cut or a peer removed meanwhile loses the answer. */
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

const callerRemovedError: PeerError = {
  kind: 'not-sent',
  detail: 'The calling daemon was killed.',
};
