/**
 * Which peer holds the table of which stopped daemon. A heartbeat carries a version of the heir's
 * list, so that the list itself travels only when it has changed.
 */
import type { Heartbeat } from '../types/membership.js';
import type { PeerLink } from '../ports/peers.js';
import type { Clock } from '../ports/clock.js';
import { within } from '../utils/within.js';

const fetchTimeoutMs = 1_000;

/** What is needed of the peers. */
export interface PeerLinks {
  /** @returns the last heartbeat of every peer heard of late */
  heard(): Heartbeat[];
  /** @returns the link to an incarnation, if its address is known */
  linkTo(incarnation: string): PeerLink | undefined;
  onChange(listener: () => void): void;
}

interface HeirList {
  readonly version: number;
  readonly incarnations: ReadonlySet<string>;
}

export class HeirDirectory {
  private readonly lists = new Map<string, HeirList>();
  private readonly fetching = new Set<string>();

  private constructor(
    private readonly peers: PeerLinks,
    private readonly clock: Clock,
  ) {}

  static create(peers: PeerLinks, clock: Clock): HeirDirectory {
    const directory = new HeirDirectory(peers, clock);
    peers.onChange(() => directory.refresh());
    return directory;
  }

  /**
   * Finds the link to an heir.
   *
   * @param incarnation - the stopped daemon
   * @returns the link to a peer that holds its complete table, if one is known
   */
  findHeir(incarnation: string): PeerLink | undefined {
    for (const [heir, { incarnations }] of this.lists) {
      const link = incarnations.has(incarnation) ? this.peers.linkTo(heir) : undefined;
      if (link !== undefined) {
        return link;
      }
    }
    return undefined;
  }

  private refresh(): void {
    const heard = this.peers.heard();
    const heardIncarnations = new Set(heard.map(({ incarnation }) => incarnation));
    for (const heir of this.lists.keys()) {
      if (!heardIncarnations.has(heir)) {
        this.lists.delete(heir);
      }
    }
    for (const { incarnation, inheritanceVersion } of heard) {
      if ((this.lists.get(incarnation)?.version ?? 0) !== inheritanceVersion) {
        void this.fetch(incarnation, inheritanceVersion);
      }
    }
  }

  private async fetch(heir: string, version: number): Promise<void> {
    const link = this.peers.linkTo(heir);
    if (link === undefined || this.fetching.has(heir)) {
      return;
    }
    this.fetching.add(heir);
    const reply = await within(this.clock, fetchTimeoutMs, (s) => link.fetchInheritance(s));
    this.fetching.delete(heir);
    if (reply?.isOk() === true) {
      this.lists.set(heir, { version, incarnations: new Set(reply.value.incarnations) });
    }
  }
}
