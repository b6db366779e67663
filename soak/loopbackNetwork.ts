/**
 * Reserves a loopback network, so that fleets of several processes can run beside each other.
 */
import { createServer } from 'node:net';
import type { Server } from 'node:net';

const firstNetwork = 20;
const networkCount = 200;
/** Address in a network, and port, on which its holder listens. */
const reservationHost = '0.254';
const reservationPort = 8_079;

export class LoopbackNetwork {
  private constructor(
    private readonly network: number,
    private readonly reservation: Server,
  ) {}

  /** Reserves the first network that nobody holds, in an order that differs between processes. */
  static async reserve(): Promise<LoopbackNetwork> {
    for (let tries = 0; tries < networkCount; tries += 1) {
      const network = firstNetwork + ((process.pid + tries) % networkCount);
      const server = createServer();
      const isReserved = await new Promise<boolean>((resolve) => {
        server.once('error', () => resolve(false));
        server.listen(reservationPort, `127.${network}.${reservationHost}`, () => resolve(true));
      });
      if (isReserved) {
        return new LoopbackNetwork(network, server);
      }
    }
    throw new Error('No loopback network is free.');
  }

  /** @returns an address of the network; `group` and `host` are its last two bytes */
  address(group: number, host: number): string {
    return `127.${this.network}.${group}.${host}`;
  }

  async close(): Promise<void> {
    await new Promise((resolve) => this.reservation.close(resolve));
  }
}
