/**
 * Counts the requests of each connection: those that are open, and those that were read in the present turn of the event loop.
 * Requests that are answered at once are hardly ever open, but a connection may have thousands of them in what is read at once.
 */
import type { Clock } from '../ports/clock.js';

/** The requests of one connection. */
export interface ConnectionUse {
  open: number;
  readInTurn: number;
}

export class ConnectionRequests {
  private readonly uses = new WeakMap<object, ConnectionUse>();
  /** The connections with requests that were read in this turn. */
  private readonly usedInTurn = new Set<ConnectionUse>();

  private constructor(
    private readonly clock: Clock,
    private readonly maxRequests: number,
  ) {}

  /**
   * @param maxRequests - most open requests of a connection, and most requests of a connection in a turn
   */
  static create(clock: Clock, maxRequests: number): ConnectionRequests {
    return new ConnectionRequests(clock, maxRequests);
  }

  /**
   * Counts a request whose head was read.
   *
   * @param connection - identifies its connection
   * @returns the requests of the connection, of which it is one; nothing if these would be too many
   */
  open(connection: object): ConnectionUse | undefined {
    const use = this.uses.get(connection) ?? { open: 0, readInTurn: 0 };
    if (Math.max(use.open, use.readInTurn) >= this.maxRequests) {
      return undefined;
    }
    this.uses.set(connection, use);
    use.open += 1;
    use.readInTurn += 1;
    this.usedInTurn.add(use);
    if (this.usedInTurn.size === 1) {
      void this.endTurn();
    }
    return use;
  }

  /** Counts anew after this turn. */
  private async endTurn(): Promise<void> {
    await this.clock.nextTurn();
    this.usedInTurn.forEach((use) => (use.readInTurn = 0));
    this.usedInTurn.clear();
  }
}
