/**
 * `npm run bench:peak`: measures how many tasks a second one daemon starts on one core, compared with a
 * bare `undici` loop to the same endpoints.
 */
import { once, setMaxListeners } from 'node:events';
import type { Worker } from 'node:worker_threads';
import { parseArgs } from 'node:util';
import { CallerHttpClient } from '../src/adapters/callerHttp/callerHttpClient.js';
import { SystemClock } from '../src/adapters/system/systemClock.js';
import { readYamlFile } from '../src/adapters/yaml/readYamlFile.js';
import { checkConfiguration } from '../src/configuration/checkConfiguration.js';
import type { Configuration } from '../src/types/configuration.js';
import { LogServiceStandIn } from '../standins/logServiceStandIn.js';
import { publishInitialConfiguration } from '../standins/publishInitialConfiguration.js';
import { VmListStandIn } from '../standins/vmListStandIn.js';
import {
  throughputSchema,
  daemonReadySchema,
  endpointsReadySchema,
  usageSchema,
} from './peak/messages.js';
import type {
  BareLoopThreadData,
  Throughput,
  DaemonThreadData,
  EndpointsThreadData,
  Usage,
} from './peak/messages.js';
import { startThread } from './threads/startThread.js';

const host = '127.0.0.1';
const anyPort = '127.0.0.1:0';
const endpointThreads = 3;
const endpointsPerThread = 4;
const slotsPerEndpoint = 8;
const runTimeMs = 1;
const tasksPerJob = 50;
const jobsInFlight = 24;
const deadlineMs = 20_000;
const warmUpMs = 2_000;
const readyPollMs = 50;
const token = 'counter-muenchen-example-token';
const configurationFile = 'examples/verband.yaml';

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '5' },
    json: { type: 'boolean', default: false },
  },
});
const durationMs = Number(values.seconds) * 1_000;
const clock = SystemClock.create();

/** @returns the next message of a thread */
const receiveMessage = async (thread: Worker): Promise<unknown> => {
  const [message] = (await once(thread, 'message')) as unknown[];
  return message;
};

const startEndpointThread = async (): Promise<Worker> => {
  const threadData: EndpointsThreadData = { count: endpointsPerThread, runTimeMs };
  return startThread(new URL('./peak/endpointsThread.ts', import.meta.url), threadData);
};

/** @returns the example configuration in one failure domain, with endpoints at the addresses and no quotas */
const createConfiguration = (addresses: readonly string[]): Configuration => {
  const configuration = readYamlFile(configurationFile, checkConfiguration).expect('It is valid.');
  const { inventory, rules } = configuration;
  const endpoints = inventory.endpoints.slice(0, addresses.length);
  const [rack] = inventory.racks;
  return {
    rules: { ...rules, quotas: [] },
    inventory: {
      ...inventory,
      operations: inventory.operations.map((o) => ({ ...o, declaredRunTimeMs: runTimeMs })),
      workers: inventory.workers.map((worker) => ({
        ...worker,
        rackId: rack?.rackId ?? '',
        slots: slotsPerEndpoint,
      })),
      endpoints: endpoints.map((e, index) => ({ ...e, address: addresses[index] ?? '' })),
    },
  };
};

const measureBareLoop = async (addresses: string[]): Promise<Throughput> => {
  const threadData: BareLoopThreadData = {
    addresses,
    connectionsPerEndpoint: slotsPerEndpoint,
    durationMs,
  };
  const thread = startThread(new URL('./peak/bareLoopThread.ts', import.meta.url), threadData);
  const throughput = throughputSchema.parse(await receiveMessage(thread));
  await thread.terminate();
  return throughput;
};

const requestUsage = async (thread: Worker): Promise<Usage> => {
  thread.postMessage('usage');
  return usageSchema.parse(await receiveMessage(thread));
};

/** Keeps a fixed number of jobs in flight and counts the tasks of answered jobs, until `end`. */
class JobLoad {
  answeredTasks = 0;
  failedJobs = 0;
  private readonly stop = new AbortController();
  private readonly done: Promise<unknown>;

  constructor(private readonly client: CallerHttpClient) {
    // Every loop adds a listener to this signal while it requests the owner; Node.js would otherwise warn
    // of a leak of listeners.
    setMaxListeners(jobsInFlight, this.stop.signal);
    this.done = Promise.all(Array.from({ length: jobsInFlight }, (_, i) => this.sendJobs(i)));
  }

  async end(): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async sendJobs(loop: number): Promise<void> {
    const owner = await this.client.owner(this.stop.signal);
    const tasks = Array.from({ length: tasksPerJob }, (_, number) => ({
      operation: 'fit',
      input: { number },
    }));
    for (let job = 0; !this.stop.signal.aborted; job += 1) {
      const signal = AbortSignal.timeout(deadlineMs);
      const key = `${owner ?? ''}~${loop}-${job}`;
      const outcome = await this.client.submit(key, { deadlineMs, tasks }, signal);
      this.answeredTasks += outcome.kind === 'complete' ? tasksPerJob : 0;
      this.failedJobs += outcome.kind === 'complete' ? 0 : 1;
    }
  }
}

/** Throughput of the daemon, with its failed jobs and its heap. */
interface DaemonThroughput extends Throughput {
  readonly failedJobs: number;
  readonly heapMb: number;
}

const measureDaemon = async (addresses: readonly string[]): Promise<DaemonThroughput> => {
  const log = await LogServiceStandIn.create({ host, port: 0, clock, retainedRecords: 1_000 });
  const vmList = await VmListStandIn.create({ host, port: 0, clock, lagMs: 0 });
  const configuration = createConfiguration(addresses);
  await publishInitialConfiguration({ logAddress: log.address, clock, configuration });
  const thread = startDaemonThread(log.address, vmList.address);
  const ready = daemonReadySchema.parse(await receiveMessage(thread));
  const client = CallerHttpClient.create(ready.callersAddress, token);
  await waitUntilServing(client);
  const load = new JobLoad(client);
  await clock.sleep(warmUpMs);
  const before = await requestUsage(thread);
  const startedAtMs = clock.nowMs();
  const answeredBefore = load.answeredTasks;
  await clock.sleep(durationMs);
  const after = await requestUsage(thread);
  const elapsedMs = clock.nowMs() - startedAtMs;
  const starts = load.answeredTasks - answeredBefore;
  await load.end();
  await client.close();
  await thread.terminate();
  await log.close();
  await vmList.close();
  const { failedJobs } = load;
  return { starts, elapsedMs, cpuMs: after.cpuMs - before.cpuMs, failedJobs, heapMb: after.heapMb };
};

const startDaemonThread = (logService: string, vmList: string): Worker => {
  const threadData: DaemonThreadData = {
    settings: {
      vmId: 'muenchen-vm1',
      failureDomainId: 'muenchen',
      weight: 1,
      listen: { callers: anyPort, operators: anyPort, peers: anyPort },
      platform: { logService, vmList },
      tokens: { peers: 'peer-token-of-the-bench', operators: 'operator-token-of-the-bench' },
      drainGraceMs: 0,
      logLevel: 'off',
    },
  };
  return startThread(new URL('./peak/daemonThread.ts', import.meta.url), threadData);
};

/** Sends lookups until one is answered: then the daemon has a configuration and endpoints. */
const waitUntilServing = async (client: CallerHttpClient): Promise<void> => {
  const task = { operation: 'tag-lookup', input: {} };
  const sendLookup = (): ReturnType<CallerHttpClient['lookup']> =>
    client.lookup({ deadlineMs: 1_000, tasks: [task] }, AbortSignal.timeout(deadlineMs));
  while ((await sendLookup()).kind !== 'complete') {
    await clock.sleep(readyPollMs);
  }
};

const startsPerS = ({ starts, elapsedMs }: Throughput): number => (starts * 1_000) / elapsedMs;
/** Task starts for each second of processor time. */
const startsPerCpuS = ({ starts, cpuMs }: Throughput): number => (starts * 1_000) / cpuMs;

const formatThroughput = (name: string, throughput: Throughput): string =>
  `${name}: ${startsPerS(throughput).toFixed(0)} starts/s, ` +
  `${startsPerCpuS(throughput).toFixed(0)} for each second of its core ` +
  `(${((throughput.cpuMs / throughput.elapsedMs) * 100).toFixed(0)}% busy)`;

const main = async (): Promise<void> => {
  const endpoints = await Promise.all(Array.from({ length: endpointThreads }, startEndpointThread));
  const ready = await Promise.all(endpoints.map((thread) => receiveMessage(thread)));
  const addresses = ready.flatMap((message) => endpointsReadySchema.parse(message).addresses);
  const bare = await measureBareLoop(addresses);
  const daemon = await measureDaemon(addresses);
  await Promise.all(endpoints.map((thread) => thread.terminate()));
  const share = startsPerCpuS(daemon) / startsPerCpuS(bare);
  const lines = values.json
    ? [JSON.stringify({ bare, daemon, share })]
    : [
        formatThroughput('bare undici loop', bare),
        formatThroughput('daemon', daemon),
        `share of the limit: ${share.toFixed(2)}; failed jobs ${daemon.failedJobs}; ` +
          `heap ${daemon.heapMb.toFixed(0)} MB`,
      ];
  process.stdout.write(`${lines.join('\n')}\n`);
};

await main();
