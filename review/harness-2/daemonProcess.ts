/**
 * One daemon as a process of its own, started with the command of the deploy file. It has the same address after each
 * start.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Recorder } from './recorder.js';
import {
  bounds,
  callersAddressOf,
  composeSettings,
  readRunLine,
  readinessAddressOf,
} from './settings.js';
import type { MachinePlace } from './settings.js';

const readyPollMs = 50;
const maxStartMs = 20_000;

/** Processes that have not ended; none outlives this one. */
const running = new Set<ChildProcess>();
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

export interface DaemonProcessOptions extends MachinePlace {
  /** Folder of the repository. */
  readonly root: string;
  /** Folder for the settings and the log. */
  readonly folder: string;
  readonly recorder: Recorder;
}

export class DaemonProcess {
  private child: ChildProcess | undefined;
  /** When the last process was started, in monotonic time. */
  startedAtMs = -Infinity;

  private constructor(private readonly options: DaemonProcessOptions) {}

  static create(options: DaemonProcessOptions): DaemonProcess {
    const daemon = new DaemonProcess(options);
    writeFileSync(daemon.settingsPath, composeSettings(options));
    return daemon;
  }

  get name(): string {
    return this.options.name;
  }

  get zone(): string {
    return this.options.zone;
  }

  /** Address for callers. */
  get address(): string {
    return callersAddressOf(this.options.ip);
  }

  private get settingsPath(): string {
    return join(this.options.folder, `${this.options.name}.json`);
  }

  start(): void {
    const { root, folder, name, recorder } = this.options;
    const [program = 'node', ...words] = readRunLine(root);
    const log = openSync(join(folder, `${name}.log`), 'a');
    const child = spawn(program, words, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: folder, TOUCANDYKE_NODE_FILE: this.settingsPath },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    running.add(child);
    child.once('exit', (code, signal) => {
      running.delete(child);
      recorder.add('process-ended', { name, code, signal });
    });
    this.child = child;
    this.startedAtMs = performance.now();
    recorder.add('process-started', { name, pid: child.pid });
  }

  /** Whether the daemon reports that it is ready. */
  async isReady(): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(500);
      const reply = await fetch(`http://${readinessAddressOf(this.options.ip)}/-/ready`, {
        signal,
      });
      await reply.arrayBuffer();
      return reply.ok;
    } catch {
      return false;
    }
  }

  async waitUntilReady(): Promise<void> {
    const endMs = performance.now() + maxStartMs;
    while (!(await this.isReady())) {
      if (performance.now() > endMs) {
        throw new Error(`${this.name} is not ready in time.`);
      }
      await sleep(readyPollMs);
    }
  }

  /** Sends SIGTERM, and SIGKILL after the grace period; resolves when the process has ended. */
  async stop(): Promise<void> {
    const { child } = this;
    if (child === undefined) {
      return;
    }
    this.child = undefined;
    const ended = once(child, 'exit');
    this.options.recorder.add('SIGTERM', { name: this.name });
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), bounds.graceS * 1_000);
    await ended;
    clearTimeout(timer);
  }

  /** Sends a signal to the process, such as SIGSTOP. */
  signal(name: NodeJS.Signals): void {
    this.options.recorder.add(name, { name: this.name });
    this.child?.kill(name);
  }

  /** Sends SIGKILL; resolves when the process has ended. */
  async kill(): Promise<void> {
    const { child } = this;
    if (child === undefined) {
      return;
    }
    this.child = undefined;
    const ended = once(child, 'exit');
    this.options.recorder.add('SIGKILL', { name: this.name });
    child.kill('SIGKILL');
    await ended;
  }
}
