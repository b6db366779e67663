/**
 * Stands in for the platform's log service over HTTP: streams with offsets, long polling and limited
 * retention.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpServer } from '../src/adapters/http/httpServer.js';
import { readJsonBody } from '../src/adapters/http/readJsonBody.js';
import { sendJson } from '../src/adapters/http/sendJson.js';
import { appendRequestSchema } from '../src/adapters/logHttp/logMessages.js';
import type { Clock } from '../src/ports/clock.js';
import type { LogRecord } from '../src/ports/logService.js';
import { createDeferred } from '../src/utils/deferred.js';
import type { Deferred } from '../src/utils/deferred.js';
import type { LogFault } from './faults.js';

const maxBodyBytes = 33_554_432;
const maxConnections = 1_024;
const maxPageRecords = 1_024;
const streamPath = /^\/v1\/streams\/([A-Za-z0-9._-]{1,128})\/records$/;

interface Stream {
  records: LogRecord[];
  /** Offset of the next record. */
  endOffset: number;
  /** Resolved at the next append, then replaced. */
  appended: Deferred<void>;
}

export interface LogServiceStandInOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Number of records that a stream keeps; older ones are discarded. */
  readonly retainedRecords: number;
}

export class LogServiceStandIn {
  private server!: HttpServer;
  private readonly streams = new Map<string, Stream>();
  private fault: LogFault = { kind: 'none' };
  private appendRequestCount = 0;

  private constructor(private readonly options: LogServiceStandInOptions) {}

  static async create(options: LogServiceStandInOptions): Promise<LogServiceStandIn> {
    const log = new LogServiceStandIn(options);
    log.server = await HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections,
      handle: (request, response) => log.serve(request, response),
    });
    return log;
  }

  get address(): string {
    return this.server.address;
  }

  /** @returns the number of valid append requests so far */
  get appendCount(): number {
    return this.appendRequestCount;
  }

  /** Switches to a fault; `none` ends the one before. */
  setFault(fault: LogFault): void {
    this.fault = fault;
  }

  close(): Promise<void> {
    return this.server.kill();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { fault } = this;
    if (fault.kind === 'outage') {
      response.destroy();
      return;
    }
    if (fault.kind === 'slow') {
      await this.options.clock.sleep(fault.delayMs);
    }
    const url = new URL(request.url ?? '', 'http://log');
    const name = streamPath.exec(url.pathname)?.[1];
    if (name === undefined) {
      sendJson(response, 404, {});
      return;
    }
    if (request.method === 'POST') {
      return this.append(name, request, response);
    }
    const from = Number(url.searchParams.get('from') ?? 0);
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    return this.read(this.stream(name), from, waitMs, response);
  }

  private async append(
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJsonBody(request, maxBodyBytes);
    const parsed = appendRequestSchema.safeParse(body.unwrapOr(null));
    if (!parsed.success) {
      sendJson(response, 400, {});
      return;
    }
    this.appendRequestCount += 1;
    const stream = this.stream(name);
    const firstOffset = stream.endOffset;
    const added = parsed.data.values.map((value, i) => ({ offset: firstOffset + i, value }));
    stream.records = [...stream.records, ...added].slice(-this.options.retainedRecords);
    stream.endOffset += added.length;
    stream.appended.resolve();
    stream.appended = createDeferred();
    if (this.fault.kind === 'answer-lost') {
      response.destroy();
      return;
    }
    sendJson(response, 200, { firstOffset });
  }

  /** Answers with the records from an offset on; where there is none, waits for the next append. */
  private async read(
    stream: Stream,
    from: number,
    waitMs: number,
    response: ServerResponse,
  ): Promise<void> {
    if (from >= stream.endOffset && waitMs > 0) {
      const timer = new AbortController();
      response.once('close', () => timer.abort());
      const { clock } = this.options;
      await Promise.race([stream.appended.promise, clock.sleep(waitMs, timer.signal)]);
      timer.abort();
    }
    if (this.fault.kind === 'outage') {
      response.destroy();
      return;
    }
    const records = stream.records.filter((r) => r.offset >= from).slice(0, maxPageRecords);
    const oldestOffset = stream.records[0]?.offset ?? stream.endOffset;
    sendJson(response, 200, { records, oldestOffset, endOffset: stream.endOffset });
  }

  /** @returns the stream of this name, created at its first use */
  private stream(name: string): Stream {
    const existing = this.streams.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const stream: Stream = { records: [], endOffset: 0, appended: createDeferred() };
    this.streams.set(name, stream);
    return stream;
  }
}
