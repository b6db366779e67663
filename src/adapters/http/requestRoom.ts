/**
 * Room in memory for one request: has the ledger count it, and refuses it or closes its connection when it decides so.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createProblem } from '../../errors/problem.js';
import type { Problem } from '../../errors/problem.js';
import { unreachable } from '../../errors/unreachable.js';
import type { LimitOutcome } from '../../limits/limitReports.js';
import type {
  ClientLimit,
  GivingWay,
  RequestEntry,
  RequestLedger,
} from '../../limits/requestLedger.js';
import { closeConnection } from './closeConnection.js';
import type { BodyRoom } from './readJsonBody.js';
import { onceOver } from './requestEnd.js';

/** Time after which a request may be sent again that found no room, in milliseconds. */
const retryAfterMs = 1_000;

/** Learns of each time that a limit was reached. */
export type OnLimitReached = (limit: ClientLimit, outcome: LimitOutcome) => void;

export class RequestRoom implements BodyRoom {
  private entry!: RequestEntry;
  private stop: ((problem: Problem) => void) | undefined;
  /** The limit for which the request has to be refused. */
  private refusedFor: ClientLimit | undefined;

  private constructor(
    private readonly request: IncomingMessage,
    private readonly onLimitReached: OnLimitReached,
  ) {}

  /**
   * Opens a request; closes its connection if that has too many of them.
   *
   * @returns its room, or nothing if the connection was closed
   */
  static open(
    ledger: RequestLedger,
    request: IncomingMessage,
    response: ServerResponse,
    onLimitReached: OnLimitReached,
  ): RequestRoom | undefined {
    const room = new RequestRoom(request, onLimitReached);
    const entry = ledger.open(request.socket, (how) => room.giveWay(how));
    if (entry === undefined) {
      room.disconnect('requests-per-connection');
      return undefined;
    }
    room.entry = entry;
    if (entry.isPipelined) {
      // Each open request listens to its socket; those of a connection with one at a time are never that many.
      request.socket.setMaxListeners(0);
    }
    onceOver(request, response, () => entry.close());
    return room;
  }

  hold(bytes: number): void {
    this.entry.holdBody(bytes);
  }

  countChunk(): void {
    this.entry.countChunk();
  }

  /** Counts a request as served from now on; without a body, `bytes` is 0. */
  end(bytes: number): Problem | undefined {
    this.stop = undefined;
    if (this.refusedFor === undefined) {
      const decision = this.entry.serve(bytes);
      this.refusedFor = decision.kind === 'refuse' ? decision.limit : undefined;
    }
    return this.refusedFor === undefined ? undefined : createRefusal();
  }

  onStop(stop: (problem: Problem) => void): void {
    this.stop = stop;
    if (this.refusedFor !== undefined) {
      stop(createRefusal());
    }
  }

  /**
   * Called before a refusal is sent, which promises that nothing has run.
   *
   * @param isTrue - whether that is so; if not, the connection is closed instead
   * @returns whether the refusal may be sent
   */
  confirmRefusal(isTrue: boolean): boolean {
    const limit = this.refusedFor ?? 'open-requests';
    if (!isTrue) {
      this.disconnect(limit);
      return false;
    }
    this.onLimitReached(limit, 'refused');
    return true;
  }

  /** Counts the response that was written. */
  respond(response: ServerResponse): void {
    this.entry.respond(response.writableLength);
  }

  private giveWay(how: GivingWay): void {
    switch (how.kind) {
      case 'refuse':
        this.refusedFor = how.limit;
        this.stop?.(createRefusal());
        return;
      case 'disconnect':
        this.disconnect(how.limit);
        return;
      default:
        return unreachable(how);
    }
  }

  private disconnect(limit: ClientLimit): void {
    this.onLimitReached(limit, 'disconnected');
    closeConnection(this.request.socket);
  }
}

const createRefusal = (): Problem =>
  createProblem('overloaded', 'Clients send more than this daemon has room for.', {
    ...{ retryAfterMs, runState: 'not-run' },
  });
