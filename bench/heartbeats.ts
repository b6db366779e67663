/**
 * `npm run bench:heartbeats`: measures the bytes and the processor time of one heartbeat exchange over
 * loopback, and computes what a daemon of the target's fleet spends on membership.
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
/** Daemons of each failure domain that exchange heartbeats with other failure domains each second. */
const connectorsPerFailureDomain = 2;
/** Time between heartbeats of other daemons in different failure domains, in seconds. */
const remotePeriodS = 30;

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

const rejectCall = (): never => {
  throw new Error('The bench exchanges heartbeats only.');
};

const service: PeerService = {
  heartbeat: () => heartbeat,
  forward: rejectCall,
  statusForwarded: rejectCall,
  cancelForwarded: rejectCall,
  handOver: rejectCall,
  fetchInheritance: rejectCall,
  passTasks: rejectCall,
  withdrawPassed: rejectCall,
  fetchConfiguration: rejectCall,
};

/** Server sides of all connections. */
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
const client = PeerRpcConnector.create(token).connect(server.address);

const exchangeHeartbeats = async (count: number): Promise<void> => {
  for (let i = 0; i < count; i += 1) {
    const reply = await client.heartbeat(heartbeat, AbortSignal.timeout(1_000));
    reply.expect('The heartbeat is answered.');
  }
};

await exchangeHeartbeats(warmUpExchanges);
const bytesBefore = countBytes();
const cpuBefore = process.cpuUsage();
await exchangeHeartbeats(exchanges);
const cpu = process.cpuUsage(cpuBefore);
const bytes = (countBytes() - bytesBefore) / exchanges;
// Both sides run in this process.
const cpuMicros = (cpu.user + cpu.system) / exchanges / 2;
await client.close();
await server.close();

const sameDomainPeers = daemonsPerFailureDomain - 1;
const remoteConnectors = (failureDomains - 1) * connectorsPerFailureDomain;
const remoteDaemons = (failureDomains - 1) * daemonsPerFailureDomain;
const exchangeRates = [
  { role: 'daemon', perS: sameDomainPeers + remoteDaemons / remotePeriodS },
  {
    role: 'connector',
    perS: sameDomainPeers + remoteConnectors + (remoteDaemons - remoteConnectors) / remotePeriodS,
  },
  { role: 'all pairs each second', perS: sameDomainPeers + remoteDaemons },
];
const printLine = (line: string): void => void process.stdout.write(`${line}\n`);
printLine(
  `one exchange: ${bytes.toFixed(0)} bytes both ways, ${cpuMicros.toFixed(0)} us on each side`,
);
printLine(`of them JSON of one heartbeat: ${JSON.stringify(heartbeat).length} bytes`);
for (const { role, perS } of exchangeRates) {
  const kilobytesPerS = (perS * bytes) / 1_000;
  const corePercent = (perS * cpuMicros) / 10_000;
  printLine(
    `${role}: ${perS.toFixed(1)} exchanges/s, ${kilobytesPerS.toFixed(1)} KB/s, ${corePercent.toFixed(2)} % of a core`,
  );
}
