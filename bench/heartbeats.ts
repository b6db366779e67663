/**
 * Counts the bytes and the processor time of a heartbeat exchange over loopback, and works out what
 * a daemon of the target's fleet spends on membership.
 */
import { subscribe } from 'node:diagnostics_channel';
import { Socket } from 'node:net';
import { PeerRpcConnector } from '../src/adapters/peerRpc/peerRpcClient.js';
import { PeerRpcServer } from '../src/adapters/peerRpc/peerRpcServer.js';
import type { Heartbeat } from '../src/types/membership.js';
import type { PeerService } from '../src/ports/peers.js';
import { silentLogger } from '../src/testing/silentLogger.js';

const exchanges = 2_000;
const warmUpExchanges = 200;
const token = 'token-of-the-heartbeat-bench';
const daemonsPerFailureDomain = 12;
const failureDomains = 7;
const connectorsPerFailureDomain = 2;
const farPeriodS = 30;

const heartbeat: Heartbeat = {
  vmId: 'muenchen-entry-vm07',
  incarnation: '0123456789abcdef',
  failureDomainId: 'muenchen',
  state: 'active',
  weight: 2,
  freeSlots: 213,
  waitingTasks: 1_204,
  configurationVersion: 12_345,
  inheritanceVersion: 3,
};

const notServed = (): never => {
  throw new Error('The bench exchanges heartbeats only.');
};

const service: PeerService = {
  heartbeat: () => heartbeat,
  forward: notServed,
  statusForwarded: notServed,
  cancelForwarded: notServed,
  handOver: notServed,
  fetchInheritance: notServed,
  passTasks: notServed,
  withdrawPassed: notServed,
  fetchConfiguration: notServed,
};

const sockets: Socket[] = [];
subscribe('net.server.socket', (message) => {
  if (typeof message === 'object' && message !== null && 'socket' in message) {
    const { socket } = message;
    if (socket instanceof Socket) {
      sockets.push(socket);
    }
  }
});

const countBytes = (): number =>
  sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);

const server = await PeerRpcServer.create({
  host: '127.0.0.1',
  port: 0,
  token,
  service,
  logger: silentLogger,
});
const link = PeerRpcConnector.create(token).connect(server.address);

const exchange = async (count: number): Promise<void> => {
  for (let i = 0; i < count; i += 1) {
    const reply = await link.heartbeat(heartbeat, AbortSignal.timeout(1_000));
    reply.expect('The heartbeat is answered.');
  }
};

await exchange(warmUpExchanges);
const bytesBefore = countBytes();
const cpuBefore = process.cpuUsage();
await exchange(exchanges);
const cpu = process.cpuUsage(cpuBefore);
const bytes = (countBytes() - bytesBefore) / exchanges;
const cpuMicros = (cpu.user + cpu.system) / exchanges / 2;
await link.close();
await server.close();

const near = daemonsPerFailureDomain - 1;
const connectors = (failureDomains - 1) * connectorsPerFailureDomain;
const others = (failureDomains - 1) * daemonsPerFailureDomain;
const rates = [
  { role: 'daemon', perS: near + others / farPeriodS },
  { role: 'connector', perS: near + connectors + (others - connectors) / farPeriodS },
  { role: 'all pairs each second', perS: near + others },
];
const say = (line: string): void => void process.stdout.write(`${line}\n`);
say(`one exchange: ${bytes.toFixed(0)} bytes both ways, ${cpuMicros.toFixed(0)} us on each side`);
say(`of them JSON of one heartbeat: ${JSON.stringify(heartbeat).length} bytes`);
for (const { role, perS } of rates) {
  const kilobytes = (perS * bytes) / 1_000;
  const core = (perS * cpuMicros) / 10_000;
  say(
    `${role}: ${perS.toFixed(1)} exchanges/s, ${kilobytes.toFixed(1)} KB/s, ${core.toFixed(2)} % of a core`,
  );
}
