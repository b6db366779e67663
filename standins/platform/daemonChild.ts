/**
 * Runs one daemon as a child process with a settings file of the platform. The daemon has the same
 * address after each restart.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { settingsPathVariable } from '../../platform/settings.js';
import { callersAddressOf, composeSettings } from './daemonSettings.js';
import type { DaemonPlace } from './daemonSettings.js';
import { handlesReload } from './signalHandlers.js';

/** Time between SIGTERM and SIGKILL in a planned stop, in seconds. */
export const stopGraceS = 6;
/**
 * Longest time a process needs to load its program and install its handler of SIGTERM while other
 * processes run, in milliseconds. Node.js handles that signal before, and ends by it.
 */
const maxBootMs = 1_500;

/** Options of Node.js, as in the deployment file: a code cache is used only with the same ones. */
export const daemonArguments: readonly string[] = ['--max-old-space-size=200'];

/**
 * @param root - folder of the repository
 * @returns path of the built daemon
 */
export const daemonProgram = (root: string): string => join(root, 'target/main.js');

/** Arguments beyond those of the deployment. */
export interface ExtraArguments {
  readonly node?: readonly string[];
  readonly program?: readonly string[];
}

export interface DaemonChildOptions extends DaemonPlace {
  /** Folder for the settings file and the log file. */
  readonly folder: string;
  /** Path of the built program. */
  readonly program: string;
  /** Further arguments of Node.js and of the program. */
  readonly extraArguments?: ExtraArguments;
  /** Called when the process exits without a call of `kill` or `stop`. */
  readonly onCrash: (detail: string) => void;
}

/** Children that have not exited; none outlives this process. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));

export class DaemonChild {
  private child: ChildProcess | undefined;
  /** The last process that was started, also while it is being stopped. */
  private running: ChildProcess | undefined;
  /** Resolves when the last process that was started has exited. */
  private ended: Promise<unknown> = Promise.resolve();
  private startedAtMs = -Infinity;
  /** When the running process was paused; undefined unless it is. */
  private pausedAtMs: number | undefined;
  /** For how long the running process was paused before. */
  private pausedMs = 0;
  /** Whether the running process was seen with its handler of SIGHUP. */
  private hasHandledReload = false;
  private readonly settingsPath: string;

  private constructor(private readonly options: DaemonChildOptions) {
    this.settingsPath = join(options.folder, `${options.vmId}.json`);
    this.writeSettings(this.composeSettings());
  }

  static create(options: DaemonChildOptions): DaemonChild {
    return new DaemonChild(options);
  }

  get vmId(): string {
    return this.options.vmId;
  }

  /** @returns id of the running process */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /**
   * Whether the last process that was started has installed its handler of SIGHUP, without which the signal ends
   * it; once it has, it counts as having it.
   */
  get handlesReload(): boolean {
    this.hasHandledReload ||= handlesReload(this.running?.pid);
    return this.hasHandledReload;
  }

  /** @returns time since the start of the process in which it was not paused, in milliseconds */
  private get activeMs(): number {
    const untilMs = this.pausedAtMs ?? performance.now();
    return untilMs - this.startedAtMs - this.pausedMs;
  }

  get callersAddress(): string {
    return callersAddressOf(this.options);
  }

  /** Starts the process unless it runs; waits until a process that is being stopped has exited. */
  async start(): Promise<void> {
    if (this.child === undefined) {
      await this.ended;
    }
    if (this.child !== undefined) {
      return;
    }
    const { folder, vmId, program, extraArguments = {}, onCrash } = this.options;
    const { node = [], program: programArguments = [] } = extraArguments;
    const log = openSync(join(folder, `${vmId}.log`), 'a');
    const child = spawn(
      process.execPath,
      [...daemonArguments, ...node, program, '--platform', ...programArguments],
      {
        env: { ...process.env, [settingsPathVariable]: this.settingsPath },
        stdio: ['ignore', log, log],
      },
    );
    closeSync(log);
    this.startedAtMs = performance.now();
    this.pausedAtMs = undefined;
    this.pausedMs = 0;
    this.hasHandledReload = false;
    this.child = child;
    this.running = child;
    this.ended = once(child, 'exit');
    runningChildren.add(child);
    child.once('exit', (code, signal) => {
      runningChildren.delete(child);
      if (this.child === child) {
        this.child = undefined;
        const uptimeMs = Math.round(this.activeMs);
        const cause = `code ${code ?? '-'}, signal ${signal ?? '-'}`;
        onCrash(
          `${vmId} exited unexpectedly ${uptimeMs} ms after its start, without pauses: ${cause}`,
        );
      }
    });
  }

  /** Replaces the content of the settings file. */
  writeSettings(text: string): void {
    writeFileSync(this.settingsPath, text);
  }

  /** Composes the settings file of the daemon. */
  composeSettings({ graceS = stopGraceS, cpuShare = 1 } = {}): string {
    return composeSettings(this.options, graceS, cpuShare);
  }

  /** Tells the process with SIGHUP that its settings file has changed; also while it is stopped. */
  reload(): void {
    this.running?.kill('SIGHUP');
  }

  /** Suspends the process with SIGSTOP until `resume`. */
  pause(): void {
    this.child?.kill('SIGSTOP');
    this.pausedAtMs ??= performance.now();
  }

  resume(): void {
    this.child?.kill('SIGCONT');
    this.endPause();
  }

  private endPause(): void {
    this.pausedMs += performance.now() - (this.pausedAtMs ?? performance.now());
    this.pausedAtMs = undefined;
  }

  /** Kills the process with SIGKILL and waits until it has exited. */
  async kill(): Promise<void> {
    const child = this.detachChild();
    const { ended } = this;
    child?.kill('SIGKILL');
    await ended;
  }

  /**
   * Stops the process with SIGTERM, and with SIGKILL after the grace period.
   *
   * @returns whether it exited with code 0 within the grace period; a process that still loads its
   *   program may also be terminated by SIGTERM itself
   */
  async stop(): Promise<boolean> {
    const child = this.detachChild();
    if (child === undefined) {
      return true;
    }
    const exited = once(child, 'exit');
    child.kill('SIGCONT');
    this.endPause();
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), stopGraceS * 1_000);
    const { activeMs } = this;
    const [code, signal] = (await exited) as [number | null, string | null];
    clearTimeout(timer);
    return code === 0 || (signal === 'SIGTERM' && activeMs < maxBootMs);
  }

  /** Detaches the child process, so that its exit is not reported as a crash. */
  private detachChild(): ChildProcess | undefined {
    const { child } = this;
    this.child = undefined;
    return child;
  }
}
