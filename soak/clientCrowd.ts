/**
 * A crowd of misbehaving clients: each sends its bytes on a connection of its own, reads nothing, and leaves the
 * connection open until the crowd is closed.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { fixtureHost, fixturePrefix } from '../standins/platform/routes.js';

/** How long a crowd stays once its bytes are sent, or cannot be sent. */
const stayMs = 3_000;
/** Longest time for which a client tries to send, in milliseconds; a server may stop reading. */
const maxSendMs = 3_000;

/** What each client of a crowd sends. */
export type CrowdLoad =
  /** One request whose body comes in equal chunks, and never ends. */
  | { readonly kind: 'unfinished-body'; readonly chunks: number; readonly chunkBytes: number }
  /** Pipelined requests, each with a job id of its own. */
  | { readonly kind: 'pipelined'; readonly requests: number; readonly hasUsualHeaders: boolean };

export class ClientCrowd {
  private readonly sockets: Socket[] = [];

  private constructor(private readonly address: string) {}

  /** Connects the clients, has them send, and stays for a while. */
  static async send(address: string, clients: number, load: CrowdLoad): Promise<ClientCrowd> {
    const crowd = new ClientCrowd(address);
    const sent = Array.from({ length: clients }, (_, client) => crowd.sendOne(client, load));
    await Promise.all(sent);
    await sleep(stayMs);
    return crowd;
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private async sendOne(client: number, load: CrowdLoad): Promise<void> {
    const [host = '', port = ''] = this.address.split(':');
    const socket = connect(Number(port), host);
    this.sockets.push(socket);
    // The server may reset the connection or have ended, which is not up to the crowd to judge.
    socket.on('error', () => undefined);
    const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
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
      const { chunks, chunkBytes } = load;
      const head = composeHead(client, 0, ['transfer-encoding: chunked']);
      const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
      return head + chunk.repeat(chunks);
    }
    case 'pipelined': {
      const requests = Array.from({ length: load.requests }, (_, number) =>
        composeRequest(client, number, load.hasUsualHeaders),
      );
      return requests.join('');
    }
  }
};

const composeRequest = (client: number, number: number, hasUsualHeaders: boolean): string => {
  const taskSpec = JSON.stringify({ runMs: 200, cpu: 1_000 });
  const steps = [{ count: 1, cpu: 1_000, estimatedMs: 200 }];
  const body = JSON.stringify({ taskSpec, steps, bestEffort: true });
  const usual = ['content-type: application/json', 'x-toucandyke-deadline-ms: 30000'];
  const headers = [`content-length: ${body.length}`, ...(hasUsualHeaders ? usual : [])];
  return composeHead(client, number, headers) + body;
};

const composeHead = (client: number, number: number, headers: readonly string[]): string => {
  const jobId =
    (client + 1).toString(16).padStart(8, '0') + (number + 1).toString(16).padStart(8, '0');
  const lines = [`POST ${fixturePrefix}${jobId} HTTP/1.1`, `host: ${fixtureHost}`, ...headers];
  return `${lines.join('\r\n')}\r\n\r\n`;
};
