/**
 * HTTP client of the platform's VM list: `GET /v1/vms`.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';
import { z } from 'zod';
import { vmRecordSchema } from '../../ports/vmList.js';
import type { VmList, VmListError, VmRecord } from '../../ports/vmList.js';
import { requestJson } from '../http/requestJson.js';

const maxReplyBytes = 1_048_576;
const requestTimeoutMs = 1_000;
const vmListReplySchema = z.object({ vms: z.array(vmRecordSchema).max(4_096) });

export class VmListHttpClient implements VmList {
  private readonly pool: Pool;

  private constructor(address: string) {
    this.pool = new Pool(`http://${address}`, { connect: { timeout: requestTimeoutMs } });
  }

  /**
   * Creates a client.
   *
   * @param address - address of the VM list service, as `IP:port`
   */
  static create(address: string): VmListHttpClient {
    return new VmListHttpClient(address);
  }

  async list(signal: AbortSignal): Promise<Result<readonly VmRecord[], VmListError>> {
    const exchange = await requestJson(this.pool, {
      method: 'GET',
      path: '/v1/vms',
      maxBytes: maxReplyBytes,
      signal: AbortSignal.any([signal, AbortSignal.timeout(requestTimeoutMs)]),
    });
    if (exchange.kind !== 'answered') {
      return Err({ kind: 'unreachable', detail: exchange.detail });
    }
    const parsed = vmListReplySchema.safeParse(exchange.body);
    return parsed.success
      ? Ok(parsed.data.vms)
      : Err({ kind: 'unreachable', detail: 'The VM list is not valid.' });
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}
