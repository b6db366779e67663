/**
 * `npm run bench:slopes`: measures how the memory, the messages and the processor time of a daemon grow with
 * remembered submissions, configuration changes, workers and peers.
 */
import { once } from 'node:events';
import type { Worker } from 'node:worker_threads';
import { SystemClock } from '../src/adapters/system/systemClock.js';
import { checkConfiguration } from '../src/configuration/checkConfiguration.js';
import { ConfigurationStore } from '../src/configuration/configurationStore.js';
import type { Configuration, ConfigurationRecord } from '../src/types/configuration.js';
import { chooseOwner } from '../src/membership/rendezvous.js';
import type { VmRecord } from '../src/ports/vmList.js';
import { SubmissionTable } from '../src/submissions/submissionTable.js';
import { CountingProxy } from '../standins/countingProxy.js';
import { LogServiceStandIn } from '../standins/logServiceStandIn.js';
import { publishInitialConfiguration } from '../standins/publishInitialConfiguration.js';
import { VmListStandIn } from '../standins/vmListStandIn.js';
import { daemonReadySchema, usageSchema } from './peak/messages.js';
import type { DaemonThreadData, Usage } from './peak/messages.js';
import { createSizedConfiguration, targetSizes } from './targetConfiguration.js';
import { readThreadCpuMs } from './threadUsage.js';
import { startThread } from './threads/startThread.js';

const host = '127.0.0.1';
const anyPort = '127.0.0.1:0';
/** Numbers of daemons that are measured one after the other. */
const memberCounts = [1, 6, 12] as const;
const daemonsPerFailureDomain = 12;
/** Time for a fleet to become stable after daemons joined, in milliseconds. */
const stabilizationMs = 4_000;
/** Time for which a fleet is measured, in milliseconds. */
const observeMs = 8_000;
const rememberedSubmissions = 20_000;
const tasksPerSubmission = 10;
const changes = 20;
const bytesPerMb = 1_048_576;
/** Budget of an idle daemon: control messages in bytes a second, processor time as a share of a core. */
const controlBudgetBytesPerS = 7_000;
const controlBudgetCpuShare = 0.014;

const clock = SystemClock.create();
const printLine = (line: string): void => void process.stdout.write(`${line}\n`);

/** @returns the next message of a thread */
const receiveMessage = async (thread: Worker): Promise<unknown> => {
  const [message] = (await once(thread, 'message')) as unknown[];
  return message;
};

const requestUsage = async (thread: Worker): Promise<Usage> => {
  thread.postMessage('usage');
  return usageSchema.parse(await receiveMessage(thread));
};

/** A daemon in its own thread, whose peers reach it through a proxy that counts bytes. */
interface ObservedDaemon {
  readonly thread: Worker;
  readonly proxy: CountingProxy;
  readonly vm: VmRecord;
}

const startDaemon = async (
  index: number,
  platform: DaemonThreadData['settings']['platform'],
): Promise<ObservedDaemon> => {
  const vmId = `vm${index}`;
  const failureDomainId = 'domain0';
  const threadData: DaemonThreadData = {
    settings: {
      vmId,
      failureDomainId,
      weight: 1,
      listen: { callers: anyPort, operators: anyPort, peers: anyPort },
      platform,
      tokens: { peers: 'peer-token-of-the-bench', operators: 'operator-token-of-the-bench' },
      drainGraceMs: 0,
      logLevel: 'off',
    },
  };
  const thread = startThread(new URL('./peak/daemonThread.ts', import.meta.url), threadData);
  const { peersAddress } = daemonReadySchema.parse(await receiveMessage(thread));
  const proxy = await CountingProxy.create(peersAddress);
  const peerAddress = proxy.address;
  return { thread, proxy, vm: { vmId, failureDomainId, peerAddress, state: 'live', weight: 1 } };
};

/** Measures messages, processor time and heap of idle daemons in one failure domain. */
const measureIdleDaemons = async (configuration: Configuration): Promise<void> => {
  const log = await LogServiceStandIn.create({ host, port: 0, clock, retainedRecords: 1_000 });
  const vmList = await VmListStandIn.create({ host, port: 0, clock, lagMs: 0 });
  const logProxy = await CountingProxy.create(log.address);
  const vmListProxy = await CountingProxy.create(vmList.address);
  await publishInitialConfiguration({ logAddress: log.address, clock, configuration });
  const platform = { logService: logProxy.address, vmList: vmListProxy.address };
  const daemons: ObservedDaemon[] = [];
  printLine(
    `Idle daemons with the target's configuration, one failure domain, ${observeMs} ms each:`,
  );
  for (const count of memberCounts) {
    while (daemons.length < count) {
      daemons.push(await startDaemon(daemons.length, platform));
    }
    await vmList.replace(daemons.map(({ vm }) => vm));
    await clock.sleep(stabilizationMs);
    const proxies = daemons.map(({ proxy }) => proxy);
    const countBytes = (): number => proxies.reduce((sum, { bytes }) => sum + bytes, 0);
    const bytesBefore = countBytes();
    const platformBefore = logProxy.bytes + vmListProxy.bytes;
    const before = await Promise.all(daemons.map(({ thread }) => requestUsage(thread)));
    await clock.sleep(observeMs);
    const after = await Promise.all(daemons.map(({ thread }) => requestUsage(thread)));
    const perS = 1_000 / observeMs;
    // The bytes of a connection count for both of its daemons.
    const peerBytesPerS = ((countBytes() - bytesBefore) * 2 * perS) / count;
    const platformBytes = logProxy.bytes + vmListProxy.bytes - platformBefore;
    const platformBytesPerS = (platformBytes * perS) / daemons.length;
    const cpuMs = after.reduce((sum, u, i) => sum + u.cpuMs - (before[i]?.cpuMs ?? 0), 0) / count;
    const heapMb = after.reduce((sum, u) => sum + u.heapMb, 0) / count;
    printLine(
      `  ${count} members: ${peerBytesPerS.toFixed(0)} bytes/s with peers` +
        ` (${(count === 1 ? 0 : peerBytesPerS / (count - 1)).toFixed(0)} for each),` +
        ` ${platformBytesPerS.toFixed(0)} bytes/s with the platform (budget ${controlBudgetBytesPerS});` +
        ` processor ${((cpuMs / observeMs) * 100).toFixed(2)}% of a core` +
        ` (budget ${(controlBudgetCpuShare * 100).toFixed(1)}%); heap ${heapMb.toFixed(0)} MB`,
    );
  }
  await Promise.all(daemons.map(({ thread }) => thread.terminate()));
  await Promise.all(daemons.map(({ proxy }) => proxy.close()));
  await Promise.all([logProxy.close(), vmListProxy.close(), log.close(), vmList.close()]);
};

const collectGarbage = (): void => {
  if (globalThis.gc === undefined) {
    throw new Error('Garbage collection is not available: start node with --expose-gc.');
  }
  globalThis.gc();
};

const readUsedBytes = (): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

/** Measures the heap of a remembered submission, next to the table's own estimate. */
const measureSubmissionMemory = (): void => {
  const maxBytes = Number.MAX_SAFE_INTEGER;
  const windowMs = (): number => 600_000;
  const table = SubmissionTable.create({
    incarnation: 'bench',
    clock,
    maxBytes,
    resubmissionWindowMs: windowMs,
  });
  const before = readUsedBytes();
  for (let index = 0; index < rememberedSubmissions; index += 1) {
    const results = Array.from({ length: tasksPerSubmission }, (_, task) => ({
      label: `size ${index}-${task}`,
    }));
    table.setRecord(table.owner.epoch, 'counter-muenchen', `bench.1~${index}`, {
      state: 'answered',
      digest: index.toString(16).padStart(64, '0'),
      answer: { status: 'complete', results },
    });
  }
  const bytes = (readUsedBytes() - before) / table.size;
  const estimate = table.bytes / table.size;
  printLine(
    `One remembered submission of ${tasksPerSubmission} tasks with results of about 20 bytes:` +
      ` ${bytes.toFixed(0)} bytes of heap; the table's own estimate ${estimate.toFixed(0)}`,
  );
};

const createRecord = (version: number, configuration: Configuration): ConfigurationRecord => ({
  version,
  baseVersion: version - 1,
  publicationId: `publication-${version}`,
  publishedBy: 'bench',
  configuration,
});

/** @returns the configuration with one endpoint set to `leaving` */
const changeEndpoint = (configuration: Configuration, index: number): Configuration => ({
  ...configuration,
  inventory: {
    ...configuration.inventory,
    endpoints: configuration.inventory.endpoints.map((endpoint, i) =>
      i === index ? { ...endpoint, state: 'leaving' as const } : endpoint,
    ),
  },
});

/** Measures processor time and heap for parsing, checking and applying one changed configuration. */
const measureConfigurationChange = (configuration: Configuration): void => {
  const texts = Array.from({ length: changes }, (_, i) =>
    JSON.stringify(createRecord(i + 1, changeEndpoint(configuration, i))),
  );
  const store = ConfigurationStore.create();
  const heapBefore = readUsedBytes();
  const startedMs = readThreadCpuMs();
  for (const [index, text] of texts.entries()) {
    const { configuration: parsed } = JSON.parse(text) as { configuration: unknown };
    const checked = checkConfiguration(parsed).expect('It is valid.');
    store.apply(createRecord(index + 1, checked));
  }
  const cpuMs = (readThreadCpuMs() - startedMs) / changes;
  const heapMb = (readUsedBytes() - heapBefore) / bytesPerMb;
  const recordBytes = texts[0]?.length ?? 0;
  printLine(
    `One change at ${targetSizes.workers} workers: record of ${recordBytes} bytes;` +
      ` ${cpuMs.toFixed(1)} ms to parse, check and apply; ${heapMb.toFixed(1)} MB of heap`,
  );
};

/** Measures the processor time for assigning all endpoints of a failure domain to its daemons. */
const measureRendezvous = (): void => {
  const workersPerDomain = Math.ceil(targetSizes.workers / targetSizes.failureDomains);
  const members = Array.from({ length: daemonsPerFailureDomain }, (_, i) => ({
    incarnation: `incarnation${i}`,
    weight: 1,
  }));
  const startedMs = readThreadCpuMs();
  for (let round = 0; round < changes; round += 1) {
    for (let worker = 0; worker < workersPerDomain; worker += 1) {
      chooseOwner(`endpoint${worker}`, members);
    }
  }
  const cpuMs = (readThreadCpuMs() - startedMs) / changes;
  printLine(
    `Dispatchers of ${workersPerDomain} endpoints among ${members.length} members:` +
      ` ${cpuMs.toFixed(1)} ms for each change of members or configuration`,
  );
};

const main = async (): Promise<void> => {
  const configuration = createSizedConfiguration(targetSizes);
  measureSubmissionMemory();
  measureConfigurationChange(configuration);
  measureRendezvous();
  await measureIdleDaemons(configuration);
};

await main();
