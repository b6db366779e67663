/**
 * Stands in for the platform's store over HTTP: keyed topics, and groups of members that share
 * partitions.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpServer } from '../../src/adapters/http/httpServer.js';
import { readJsonBody } from '../../src/adapters/http/readJsonBody.js';
import { sendJson } from '../../src/adapters/http/sendJson.js';
import { KeyedLog } from './keyedLog.js';
import { listenOnLoopback } from './listenOnLoopback.js';
import { MemberGroup } from './memberGroup.js';

const maxConnections = 512;
const maxBodyBytes = 1_048_576;
const defaultTtlMs = 2_000;

/** Fault of the store. `busy`: answers 503 to every call. `silent`: never answers. */
export type StoreFault = 'none' | 'busy' | 'silent';

/** Body of the calls by which a member joins a group or leaves it. */
interface GroupRequest {
  readonly group: string;
  readonly member: string;
  readonly topics: readonly string[];
  readonly ttlMs?: number;
  readonly generation?: number;
}

export class StoreStandIn {
  fault: StoreFault = 'none';
  /** Number of calls so far, by path. */
  readonly callCounts = new Map<string, number>();
  private server!: HttpServer;
  private readonly logs = new Map<string, KeyedLog>();
  private readonly groups = new Map<string, MemberGroup>();

  private constructor(private readonly partitionCount: number) {}

  /** Starts a store in whose groups members share this many partitions. */
  static async create(partitionCount: number): Promise<StoreStandIn> {
    const store = new StoreStandIn(partitionCount);
    store.server = await listenOnLoopback(maxConnections, (request, response) =>
      store.serve(request, response),
    );
    return store;
  }

  get address(): string {
    return this.server.address;
  }

  /** @returns a keyed topic, created at its first use */
  log(topic: string): KeyedLog {
    const log = this.logs.get(topic) ?? KeyedLog.create();
    this.logs.set(topic, log);
    return log;
  }

  close(): Promise<void> {
    return this.server.kill();
  }

  /** @returns the group of this name, created at its first use */
  private group(name: string): MemberGroup {
    const group = this.groups.get(name) ?? MemberGroup.create(this.partitionCount);
    this.groups.set(name, group);
    return group;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '', 'http://store');
    this.callCounts.set(url.pathname, (this.callCounts.get(url.pathname) ?? 0) + 1);
    if (this.fault === 'silent') {
      return;
    }
    if (this.fault === 'busy') {
      sendJson(response, 503, {});
      return;
    }
    switch (url.pathname) {
      case '/-/log-newest': {
        const log = this.log(url.searchParams.get('topic') ?? '');
        sendJson(response, 200, { items: log.items(), more: false, end: log.end });
        return;
      }
      case '/-/log-append': {
        const log = this.log(url.searchParams.get('topic') ?? '');
        appendRecords(log, await readBytes(request));
        sendJson(response, 200, { offset: log.end - 1, end: log.end });
        return;
      }
      case '/-/log-read':
        return this.serveRead(url, response);
      case '/-/log-join':
        return this.serveJoin(request, response);
      case '/-/log-leave': {
        const { group, member } = await readGroupRequest(request);
        this.group(group).leave(member);
        sendJson(response, 200, {});
        return;
      }
      case '/-/log-owners': {
        const name = url.searchParams.get('group') ?? '';
        const parts = this.group(name)
          .rows()
          .map(({ part, member }) => [name, part, member, 0]);
        sendJson(response, 200, { parts });
        return;
      }
      default:
        sendJson(response, 404, {});
    }
  }

  private async serveRead(url: URL, response: ServerResponse): Promise<void> {
    const log = this.log(url.searchParams.get('topic') ?? '');
    const from = Number(url.searchParams.get('from'));
    const body = await log.read(from, Number(url.searchParams.get('waitMs') ?? 0));
    if (body === undefined) {
      sendJson(response, 410, { first: log.end });
      return;
    }
    response.writeHead(200, { 'content-length': body.length });
    response.end(body);
  }

  private async serveJoin(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { group, member, topics, generation, ttlMs } = await readGroupRequest(request);
    const memberGroup = this.group(group);
    const parts = memberGroup.join(member, generation ?? 0, ttlMs ?? defaultTtlMs);
    const rows = parts.map((part) => [topics[0], part, 0]);
    sendJson(response, 200, { generation: memberGroup.generation, ttlMs, parts: rows });
  }
}

const readGroupRequest = async (request: IncomingMessage): Promise<GroupRequest> => {
  const body = await readJsonBody(request, maxBodyBytes);
  return body.unwrap() as GroupRequest;
};

const readBytes = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
};

/**
 * Appends the records of a request body. Each is the length of the rest (4 bytes), the length of the key
 * (1 byte), the key and the value.
 */
const appendRecords = (log: KeyedLog, bytes: Buffer): void => {
  let position = 0;
  while (position < bytes.length) {
    const length = bytes.readUInt32BE(position);
    const content = bytes.subarray(position + 4, position + 4 + length);
    const keyEnd = 1 + content.readUInt8(0);
    log.append(content.subarray(1, keyEnd).toString('utf8'), content.subarray(keyEnd));
    position += 4 + length;
  }
};
