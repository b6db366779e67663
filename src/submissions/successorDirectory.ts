/**
 * Finds the peer that has adopted the submission table of a stopped daemon. Heartbeats carry only the
 * version of a peer's list of adopted tables; at a membership change, each list with a new version is
 * fetched.
 */
import type { Heartbeat } from '../types/membership.js';
import type { PeerLink } from '../ports/peers.js';
import type { Clock } from '../ports/clock.js';
import { withTimeout } from '../utils/withTimeout.js';

const fetchTimeoutMs = 1_000;

/** The part of the peer set that the submissions use. */
export interface PeerLinks {
  /** @returns the last heartbeat of every reachable peer */
  reachablePeers(): Heartbeat[];
  /** @returns the link to an incarnation, if its address is known */
  linkTo(incarnation: string): PeerLink | undefined;
  /**
   * Calls a listener whenever a peer becomes reachable or unreachable, or changes its incarnation,
   * state, weight or failure domain.
   */
  onChange(listener: () => void): void;
}

/** The stopped daemons whose complete tables one peer holds. */
interface AdoptedTableList {
  /** Version that the heartbeat announced when the list was requested. */
  readonly version: number;
  /** Incarnations of the stopped daemons. */
  readonly incarnations: ReadonlySet<string>;
}

export class SuccessorDirectory {
  /** By the incarnation of the peer that holds the tables. */
  private readonly lists = new Map<string, AdoptedTableList>();
  /** Incarnations of the peers whose list is being fetched. */
  private readonly fetching = new Set<string>();

  private constructor(
    private readonly peers: PeerLinks,
    private readonly clock: Clock,
  ) {}

  static create(peers: PeerLinks, clock: Clock): SuccessorDirectory {
    const directory = new SuccessorDirectory(peers, clock);
    peers.onChange(() => directory.refresh());
    return directory;
  }

  /**
   * Finds the link to a successor.
   *
   * @param incarnation - the stopped daemon
   * @returns the link to a peer that holds its complete table, if one is known
   */
  findSuccessor(incarnation: string): PeerLink | undefined {
    for (const [successor, { incarnations }] of this.lists) {
      const link = incarnations.has(incarnation) ? this.peers.linkTo(successor) : undefined;
      if (link !== undefined) {
        return link;
      }
    }
    return undefined;
  }

  /** Removes the lists of unreachable peers and fetches those whose version has changed. */
  private refresh(): void {
    const reachable = this.peers.reachablePeers();
    const reachableIncarnations = new Set(reachable.map(({ incarnation }) => incarnation));
    for (const successor of this.lists.keys()) {
      if (!reachableIncarnations.has(successor)) {
        this.lists.delete(successor);
      }
    }
    for (const { incarnation, inheritanceVersion } of reachable) {
      if ((this.lists.get(incarnation)?.version ?? 0) !== inheritanceVersion) {
        void this.fetch(incarnation, inheritanceVersion);
      }
    }
  }

  /** Fetches the list of one peer; without a reply the previous list stays. */
  private async fetch(successor: string, version: number): Promise<void> {
    const link = this.peers.linkTo(successor);
    if (link === undefined || this.fetching.has(successor)) {
      return;
    }
    this.fetching.add(successor);
    const reply = await withTimeout(this.clock, fetchTimeoutMs, (s) => link.fetchInheritance(s));
    this.fetching.delete(successor);
    if (reply?.isOk() === true) {
      this.lists.set(successor, { version, incarnations: new Set(reply.value.incarnations) });
    }
  }
}
