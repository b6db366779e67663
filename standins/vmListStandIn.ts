/**
 * Stands in for the platform's VM list over HTTP, in which changes show after a lag.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpServer } from '../src/adapters/http/httpServer.js';
import { sendJson } from '../src/adapters/http/sendJson.js';
import type { Clock } from '../src/ports/clock.js';
import type { VmRecord } from '../src/ports/vmList.js';

const maxConnections = 1_024;

export interface VmListStandInOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Time until a change shows in the answers, in milliseconds. */
  readonly lagMs: number;
}

export class VmListStandIn {
  private server!: HttpServer;
  /** The rows that requests currently get. */
  private visibleVms: readonly VmRecord[] = [];
  /** Ends the lag of pending changes at close. */
  private readonly stop = new AbortController();
  private isUnavailable = false;

  private constructor(private readonly options: VmListStandInOptions) {}

  static async create(options: VmListStandInOptions): Promise<VmListStandIn> {
    const list = new VmListStandIn(options);
    list.server = await HttpServer.create({
      host: options.host,
      port: options.port,
      maxConnections,
      handle: (request, response) => list.serve(request, response),
    });
    return list;
  }

  get address(): string {
    return this.server.address;
  }

  /**
   * Replaces the list, and resolves when the change shows, after the lag.
   *
   * @param vms - all rows of the new list
   */
  async replace(vms: readonly VmRecord[]): Promise<void> {
    await this.options.clock.sleep(this.options.lagMs, this.stop.signal);
    this.visibleVms = vms;
  }

  /** Starts or ends an outage, in which requests get no answer and their connections are closed. */
  setOutage(isUnavailable: boolean): void {
    this.isUnavailable = isUnavailable;
  }

  close(): Promise<void> {
    this.stop.abort();
    return this.server.kill();
  }

  private async serve(_request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.isUnavailable) {
      response.destroy();
      return;
    }
    sendJson(response, 200, { vms: this.visibleVms });
  }
}
