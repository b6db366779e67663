/**
 * Loopback addresses that are free: every daemon and worker of a script gets one of its own.
 */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

const maxTries = 50;

/**
 * Finds a loopback address on which some ports are free.
 *
 * @param ports - the ports
 * @returns the address, without a port
 */
export const findFreeIp = async (ports: readonly number[]): Promise<string> => {
  for (let tries = 0; tries < maxTries; tries += 1) {
    const ip = `127.${randomInt(20, 250)}.${randomInt(1, 250)}.${randomInt(2, 250)}`;
    const checks = await Promise.all(ports.map((port) => isFree(ip, port)));
    if (checks.every((isPortFree) => isPortFree)) {
      return ip;
    }
  }
  throw new Error('No loopback address is free.');
};

const isFree = (ip: string, port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
