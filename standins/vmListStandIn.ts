/**
 * Stands in for the platform's VM list, which lags behind the truth.
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
  /** Time until a change shows, in milliseconds. */
  readonly lagMs: number;
}

export class VmListStandIn {
  private server!: HttpServer;
  private shown: readonly VmRecord[] = [];
  private readonly stop = new AbortController();
  private isOut = false;

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
   * Replaces the list after the lag.
   *
   * @param vms - the VMs
   */
  async replace(vms: readonly VmRecord[]): Promise<void> {
    await this.options.clock.sleep(this.options.lagMs, this.stop.signal);
    this.shown = vms;
  }

  /** Switches an outage on or off. */
  setOutage(isOut: boolean): void {
    this.isOut = isOut;
  }

  close(): Promise<void> {
    this.stop.abort();
    return this.server.kill();
  }

  private async serve(_request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.isOut) {
      response.destroy();
      return;
    }
    sendJson(response, 200, { vms: this.shown });
  }
}
