/**
 * One daemon as a process of its own, under the settings file of the platform. It keeps its address
 * over restarts.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { settingsPathVariable } from '../platform/settings.js';

const callersPort = 8_080;
const readinessPort = 8_081;
const internalPorts = [7_000, 7_010];
/** Time from the signal to stop until the process is killed, in seconds. */
export const stopGraceS = 6;
/** Time in which a process has loaded its program, beside other processes, in milliseconds. */
const bootMs = 1_500;

export interface DaemonChildOptions {
  readonly vmId: string;
  /** Loopback address of the VM. */
  readonly ip: string;
  readonly zone: string;
  readonly zones: readonly string[];
  readonly storeAddress: string;
  readonly shardCount: number;
  /** Folder for the settings and the log. */
  readonly folder: string;
  /** The built program. */
  readonly program: string;
  /** Called when the process has ended without being told to. */
  readonly onCrash: (detail: string) => void;
}

export class DaemonChild {
  private child: ChildProcess | undefined;
  /** Resolved when no process of before is left. */
  private ended: Promise<unknown> = Promise.resolve();
  private startedAtMs = -Infinity;
  private readonly settingsPath: string;

  private constructor(private readonly options: DaemonChildOptions) {
    this.settingsPath = join(options.folder, `${options.vmId}.json`);
    writeFileSync(this.settingsPath, JSON.stringify(composeSettings(options)));
  }

  static create(options: DaemonChildOptions): DaemonChild {
    return new DaemonChild(options);
  }

  get vmId(): string {
    return this.options.vmId;
  }

  get callersAddress(): string {
    return `${this.options.ip}:${callersPort}`;
  }

  /** Starts the process, if none runs; one that ends is waited for. */
  async start(): Promise<void> {
    if (this.child === undefined) {
      await this.ended;
    }
    if (this.child !== undefined) {
      return;
    }
    const { folder, vmId, program, onCrash } = this.options;
    const log = openSync(join(folder, `${vmId}.log`), 'a');
    const child = spawn(process.execPath, [program, '--platform'], {
      env: { ...process.env, [settingsPathVariable]: this.settingsPath },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.startedAtMs = performance.now();
    this.child = child;
    this.ended = once(child, 'exit');
    child.once('exit', (code, signal) => {
      if (this.child === child) {
        this.child = undefined;
        onCrash(`${vmId} ended by itself: code ${code ?? '-'}, signal ${signal ?? '-'}`);
      }
    });
  }

  /** Stops the process where it stands; it goes on with `resume`. */
  pause(): void {
    this.child?.kill('SIGSTOP');
  }

  resume(): void {
    this.child?.kill('SIGCONT');
  }

  async kill(): Promise<void> {
    const child = this.release();
    const { ended } = this;
    child?.kill('SIGKILL');
    await ended;
  }

  /**
   * Asks the process to stop as planned.
   *
   * @returns whether it ended within its time, with success; a process that has not begun to listen yet
   *   may end by the signal itself
   */
  async stop(): Promise<boolean> {
    const child = this.release();
    if (child === undefined) {
      return true;
    }
    const ended = once(child, 'exit');
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), stopGraceS * 1_000);
    const ageMs = performance.now() - this.startedAtMs;
    const [code, signal] = (await ended) as [number | null, string | null];
    clearTimeout(timer);
    return code === 0 || (signal === 'SIGTERM' && ageMs < bootMs);
  }

  private release(): ChildProcess | undefined {
    const { child } = this;
    this.child = undefined;
    return child;
  }
}

const composeSettings = ({
  vmId,
  ip,
  zone,
  zones,
  storeAddress,
  shardCount,
}: DaemonChildOptions) => ({
  nodeName: vmId,
  ip,
  zone,
  zones: Object.fromEntries(zones.map((name) => [name, 'region'])),
  listen: { front: `${ip}:${callersPort}`, ready: `${ip}:${readinessPort}` },
  internalPortRange: internalPorts,
  limits: { cpuShare: 1, cores: 1 },
  bounds: { holdMaxMs: 1_000, farFactor: 1.5, graceS: stopGraceS },
  platform: { address: storeAddress, parts: shardCount, ttlMinMs: 1_000 },
});
