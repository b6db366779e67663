/**
 * A crowd of misbehaving clients: each sends its bytes on a connection of its own, reads nothing, and leaves the
 * connection open until the crowd is closed.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { composeInvalid, composeRequest, composeUnfinished } from './crowdRequests.js';
import type { InvalidMessage, RequestShape, UnfinishedBody } from './crowdRequests.js';

/** How long a crowd stays once its bytes are sent, or cannot be sent. */
const stayMs = 3_000;
/** Longest time for which a client tries to send, in milliseconds; a server may stop reading. */
const maxSendMs = 3_000;

/** What each client of a crowd sends. */
export type CrowdLoad =
  /** Complete requests, then the start of one whose body never ends. */
  | {
      readonly kind: 'unfinished-body';
      readonly body: UnfinishedBody;
      /** Jobs that are sent before it. */
      readonly jobsBefore?: number;
    }
  /** Pipelined requests, each with a job id of its own. */
  | { readonly kind: 'pipelined'; readonly shape: RequestShape; readonly requests: number }
  /** Pipelined requests, then a message that cannot be parsed. */
  | {
      readonly kind: 'invalid';
      readonly message: InvalidMessage;
      readonly shape: RequestShape;
      readonly requestsBefore: number;
    };

export interface CrowdOptions {
  readonly clients: number;
  /** What each client sends; the clients divide themselves equally among several loads. */
  readonly loads: readonly CrowdLoad[];
  /** Whether a client whose connection is closed sends the same on a new one, while the crowd sends. */
  readonly reconnects?: boolean;
}

export class ClientCrowd {
  /** The connection of each client. */
  private readonly sockets = new Map<number, Socket>();
  private isSending = true;

  private constructor(
    private readonly address: string,
    private readonly options: CrowdOptions,
  ) {}

  /** Connects the clients, has them send, and stays for a while. */
  static async send(address: string, options: CrowdOptions): Promise<ClientCrowd> {
    const crowd = new ClientCrowd(address, options);
    const sent = Array.from({ length: options.clients }, (_, client) => crowd.sendOne(client));
    await Promise.all(sent);
    await sleep(stayMs);
    crowd.isSending = false;
    return crowd;
  }

  close(): void {
    this.isSending = false;
    this.sockets.forEach((socket) => socket.destroy());
  }

  private async sendOne(client: number): Promise<void> {
    const { loads, reconnects = false } = this.options;
    const load = loads[client % loads.length];
    if (load === undefined) {
      return;
    }
    const [host = '', port = ''] = this.address.split(':');
    const socket = connect(Number(port), host);
    this.sockets.set(client, socket);
    // The server may reset the connection or have ended, which is not up to the crowd to judge.
    socket.on('error', () => undefined);
    const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
    if (reconnects) {
      void closed.then(() => (this.isSending ? this.sendOne(client) : undefined));
    }
    await Promise.race([once(socket, 'connect').catch(() => undefined), closed]);
    const written = new Promise<void>((resolve) =>
      socket.write(composeLoad(client, load), () => resolve()),
    );
    await Promise.race([written, closed, sleep(maxSendMs, undefined, { ref: false })]);
  }
}

const composeLoad = (client: number, load: CrowdLoad): string => {
  switch (load.kind) {
    case 'unfinished-body': {
      const { body, jobsBefore = 0 } = load;
      const start = composeUnfinished(body, client, jobsBefore);
      return composeRequests('job', client, jobsBefore) + start;
    }
    case 'pipelined':
      return composeRequests(load.shape, client, load.requests);
    case 'invalid':
      return (
        composeRequests(load.shape, client, load.requestsBefore) +
        composeInvalid(load.message, client)
      );
  }
};

const composeRequests = (shape: RequestShape, client: number, count: number): string =>
  Array.from({ length: count }, (_, number) => composeRequest(shape, client, number)).join('');
