/**
 * Decides what becomes of the requests of clients when they need more memory than is allowed. A request goes through three
 * phases, and is counted in bytes in the pool of its phase: its body comes, it is served, its response is sent.
 *
 * Ordinary clients send a body at once and read a response at once. So room is made at the expense of the request that has
 * been in the first or the last phase for longest. A request that is being served keeps its room until it has its response.
 */
import type { Clock } from '../ports/clock.js';
import type { ClientLimits } from './clientLimits.js';
import { BytePool } from './bytePool.js';
import type { PoolShare } from './bytePool.js';
import { ChunkBudget } from './chunkBudget.js';
import { ConnectionRequests } from './connectionRequests.js';
import type { ConnectionUse } from './connectionRequests.js';

/** Memory of a request and its response in Node.js, without the body, in bytes. */
const requestBytes = 4_096;
/** Memory of a job in progress, without its content, in bytes. */
const jobBytes = 6_144;
/** Memory of the content of a job over the bytes of its body: the text while it is parsed, and what is parsed. */
const contentFactor = 2;
/**
 * Part of the pool of served requests that clients which send several at a time on a connection may fill; the rest is left to
 * the others.
 */
const pipelinedPart = 0.5;
/** Chunks of a body that are always read; the bodies of ordinary clients have fewer. */
const freeChunks = 512;

/** The limits that a request may reach. */
export type ClientLimit =
  | 'requests-per-connection'
  | 'unfinished-bodies'
  | 'body-chunks'
  | 'open-requests'
  | 'unread-responses';

/** A request for which there is no room. `refuse`: nothing of it has been started. */
export interface Refusal {
  readonly kind: 'refuse';
  readonly limit: ClientLimit;
}

/** What becomes of a request whose body has ended. */
export type ServeDecision = { readonly kind: 'serve' } | Refusal;

/** How a request gives way to others. `disconnect`: its connection is closed. */
export type GivingWay = Refusal | { readonly kind: 'disconnect'; readonly limit: ClientLimit };

/** Ends a request that gives way. */
export type GiveWay = (how: GivingWay) => void;

/** What all requests share. */
interface SharedRoom {
  readonly bodyChunks: ChunkBudget;
  readonly unfinishedBodies: BytePool;
  readonly openRequests: BytePool;
  readonly unreadResponses: BytePool;
}

export class RequestLedger {
  private readonly connections: ConnectionRequests;
  private readonly shared: SharedRoom;

  private constructor(limits: ClientLimits, clock: Clock) {
    this.connections = ConnectionRequests.create(clock, limits.requestsPerConnection);
    this.shared = {
      bodyChunks: ChunkBudget.create(clock, limits.bodyChunksPerS),
      unfinishedBodies: BytePool.create(limits.unfinishedBodyBytes),
      openRequests: BytePool.create(limits.openRequestBytes),
      unreadResponses: BytePool.create(limits.unreadResponseBytes),
    };
  }

  static create(limits: ClientLimits, clock: Clock): RequestLedger {
    return new RequestLedger(limits, clock);
  }

  /** Bytes that are counted now, of all phases. */
  get heldBytes(): number {
    const { unfinishedBodies, openRequests, unreadResponses } = this.shared;
    return unfinishedBodies.bytes + openRequests.bytes + unreadResponses.bytes;
  }

  /**
   * Counts a request whose head was read, until it is closed.
   *
   * @param connection - identifies its connection
   * @param giveWay - called when it has to give way to another request
   * @returns the entry, or nothing if the connection has too many requests and is to be closed
   */
  open(connection: object, giveWay: GiveWay): RequestEntry | undefined {
    const use = this.connections.open(connection);
    return use === undefined ? undefined : new RequestEntry(this.shared, use, giveWay);
  }
}

/** One request, in one phase at a time. */
export class RequestEntry {
  private pool: BytePool;
  /** Whether it came before an earlier request of its connection was over. */
  readonly isPipelined: boolean;
  private share: PoolShare;
  private isClosed = false;
  private chunkCount = 0;

  /** Used by the ledger only. */
  constructor(
    private readonly shared: SharedRoom,
    private readonly use: ConnectionUse,
    private readonly giveWay: GiveWay,
  ) {
    this.isPipelined = use.open > 1;
    this.pool = shared.unfinishedBodies;
    this.share = this.pool.add(requestBytes, () =>
      this.giveWay({ kind: 'refuse', limit: 'unfinished-bodies' }),
    );
    this.pool.evictOldest();
  }

  /**
   * Counts the memory that the body takes so far. Other requests may have to give way.
   *
   * @param bytes - size of the buffer, in bytes
   */
  holdBody(bytes: number): void {
    this.pool.resize(this.share, requestBytes + bytes);
    this.pool.evictOldest();
  }

  /** Counts a chunk of the body. The request has to give way if too many chunks are read in all. */
  countChunk(): void {
    this.chunkCount += 1;
    if (this.chunkCount > freeChunks && !this.shared.bodyChunks.take()) {
      this.giveWay({ kind: 'refuse', limit: 'body-chunks' });
    }
  }

  /** Decides whether a request is served whose body has ended. */
  serve(bodyBytes: number): ServeDecision {
    const { openRequests } = this.shared;
    const neededBytes = requestBytes + jobBytes + bodyBytes * contentFactor;
    if (!openRequests.hasRoom(neededBytes, this.isPipelined ? pipelinedPart : 1)) {
      return { kind: 'refuse', limit: 'open-requests' };
    }
    this.moveTo(openRequests, neededBytes, () => undefined);
    return { kind: 'serve' };
  }

  /**
   * Counts a response from when it is written until the connection has taken it. The requests whose responses have waited
   * longest may have to give way.
   */
  respond(bytes: number): void {
    const { unreadResponses } = this.shared;
    this.moveTo(unreadResponses, requestBytes + bytes, () =>
      this.giveWay({ kind: 'disconnect', limit: 'unread-responses' }),
    );
    unreadResponses.evictOldest();
  }

  /** Releases the room of a request that is over. */
  close(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      this.pool.remove(this.share);
      this.use.open -= 1;
    }
  }

  private moveTo(pool: BytePool, bytes: number, onEvict: () => void): void {
    if (this.isClosed) {
      return;
    }
    this.pool.remove(this.share);
    this.pool = pool;
    this.share = pool.add(bytes, onEvict);
  }
}
