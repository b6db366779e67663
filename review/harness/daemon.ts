/**
 * One process of the project, started with the command of the deploy file.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { join } from 'node:path';

const frontPort = 8_161;
const readyPort = 8_167;
const internalPorts = [7_720, 7_735] as const;
const metricsPort = 9_464;
const graceMs = 6_000;
export const daemonPorts: readonly number[] = [frontPort, readyPort, internalPorts[0], metricsPort];

export interface DaemonOptions {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly zones: readonly string[];
  readonly storeAddress: string;
  /** Folder of the repository. */
  readonly root: string;
  /** Folder for the settings and the log. */
  readonly folder: string;
}

/** Processes that have not exited; none outlives the script. */
const running = new Set<ChildProcess>();
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

export class Daemon {
  private child: ChildProcess | undefined;
  private readonly settingsPath: string;

  private constructor(private readonly options: DaemonOptions) {
    this.settingsPath = join(options.folder, `${options.name}.json`);
    writeFileSync(this.settingsPath, JSON.stringify(composeSettings(options)));
  }

  static create(options: DaemonOptions): Daemon {
    return new Daemon(options);
  }

  get name(): string {
    return this.options.name;
  }

  get ip(): string {
    return this.options.ip;
  }

  get zone(): string {
    return this.options.zone;
  }

  /** Address at which the other daemons reach it. */
  get peerAddress(): string {
    return `${this.options.ip}:${internalPorts[0]}`;
  }

  get frontPort(): number {
    return frontPort;
  }

  /** Whether the process has not exited. */
  get isRunning(): boolean {
    return this.child !== undefined;
  }

  start(): void {
    const { root, folder, name } = this.options;
    const [program = 'node', ...args] = readRunCommand(root);
    const log = openSync(join(folder, `${name}.log`), 'a');
    const { PATH = '', HOME = '', LANG = '' } = process.env;
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH, HOME, LANG, TOUCANDYKE_NODE_FILE: this.settingsPath },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    running.add(child);
    this.child = child;
    child.once('exit', () => {
      running.delete(child);
      if (this.child === child) {
        this.child = undefined;
      }
    });
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    const { child } = this;
    if (child !== undefined) {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    }
  }

  /** Stops the process as planned: SIGTERM, and SIGKILL after the grace period. */
  async stop(): Promise<void> {
    const { child } = this;
    if (child !== undefined) {
      const exited = once(child, 'exit');
      child.kill('SIGTERM');
      const timer = setTimeout(() => child.kill('SIGKILL'), graceMs);
      await exited;
      clearTimeout(timer);
    }
  }

  /** Asks whether the process is ready, as the platform does once a second. */
  isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const probe = request(
        { host: this.ip, port: readyPort, path: '/-/ready', timeout: 500, agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      probe.once('timeout', () => probe.destroy());
      probe.once('error', () => resolve(false));
      probe.end();
    });
  }

  /** @returns the last error with which Node.js has ended the process, in one line */
  lastError(): string {
    const text = readFileSync(join(this.options.folder, `${this.name}.log`), 'utf8');
    return text.split('\n').findLast((line) => /^\w*Error/.test(line)) ?? 'no error was written';
  }

  /** @returns when it last began to dispatch to a worker, in Unix milliseconds; 0 if never */
  takeOverMs(workerId: string): number {
    const lines = readFileSync(join(this.options.folder, `${this.name}.log`), 'utf8').split('\n');
    const last = lines.findLast(
      (line) => line.includes('is taken over') && line.includes(`"${workerId}"`),
    );
    return last === undefined ? 0 : (JSON.parse(last) as { time: number }).time;
  }
}

/** Reads the words of the `run` line of the deploy file. */
const readRunCommand = (root: string): string[] => {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return (/^run = "(.+)"$/m.exec(text)?.[1] ?? '').split(' ');
};

const composeSettings = ({ name, ip, zone, zones, storeAddress }: DaemonOptions): object => ({
  nodeName: name,
  role: 'toucandyked',
  machineClass: 'front',
  serves: ['front'],
  ip,
  zone,
  region: 'bayern',
  zones: Object.fromEntries(zones.map((one) => [one, 'bayern'])),
  listen: { front: `${ip}:${frontPort}`, ready: `${ip}:${readyPort}` },
  internalPortRange: internalPorts,
  seeds: [],
  bootstrap: true,
  countsAsLoss: false,
  limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, fileDescriptors: 4_100, linkMbps: 1_000 },
  dataDir: null,
  discovery: 'platform',
  entry: 'vip',
  heartbeatMs: 1_500,
  contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform'],
  bounds: {
    contactMs: 3_000,
    drainMs: 2_000,
    graceS: 6,
    configApplyMs: 2_000,
    holdMaxMs: 1_000,
    stopMs: 50,
    cancel_ms: 3_000,
    farFactor: 1.5,
    leaseMs: 3_000,
    resendMs: 1_300,
  },
  orders: 'call',
  platform: { address: storeAddress, form: 'log', parts: 32, ttlMinMs: 1_000, keep_s: 300 },
});
