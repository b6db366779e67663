/**
 * A process of the model: its clock and timers, and the messages that it receives. A frozen process handles
 * nothing until it is thawed, then its overdue timers and after them the messages that waited; on a suspended VM
 * the monotonic clock stops as well, so that timers fire later by that time. A slow process is an event loop of long
 * turns: first the timers that are due, then the messages that had arrived by then, one after the other; what the
 * process sends in such a step leaves at the end of the step. A killed process never handles anything again.
 */
import type { Clock } from '../../ports/clock.js';
import { unreachable } from '../../errors/unreachable.js';
import { createDeferred } from '../../utils/deferred.js';
import type { FakeClock } from '../fakeClock.js';
import { ModelEventLoop } from './modelEventLoop.js';
import type { Step } from './modelEventLoop.js';

/** Wall-clock time at the begin of the model, in milliseconds since the epoch. */
export const modelEpochMs = 1_700_000_000_000;

/** Shortest time after which a timer fires, in milliseconds. */
const minTimerMs = 1;
/** Difference between sums of the same times, in milliseconds, by the rounding of fractions. */
const maxRoundingMs = 1e-6;

/** Time in which a process that is fast again notices what it has read, in milliseconds. */
const catchUpMs = 5;

/** How a process works while nothing stops it. */
type WorkingState =
  | { readonly kind: 'running' }
  /** `turnsMs`: lengths of the turns of its event loop, which it takes one after the other, in milliseconds. */
  | { readonly kind: 'slow'; readonly turnsMs: readonly number[] };

type ProcessState =
  | WorkingState
  /** `next`: how it works when it is thawed. */
  | { readonly kind: 'frozen'; readonly next: WorkingState }
  | { readonly kind: 'suspended'; readonly sinceMs: number; readonly next: WorkingState }
  | { readonly kind: 'killed' };

export class ModelProcess {
  /** The view that the process has of the simulated time. */
  readonly clock: Clock;
  private state: ProcessState = { kind: 'running' };
  private readonly loop: ModelEventLoop;
  /** Whether it reads now what came while it did not run, or was slow. */
  private isCatchingUp = false;
  private readonly killed = createDeferred<undefined>();
  /** Time for which the VM was suspended before, in milliseconds. */
  private suspendedMs = 0;

  private constructor(
    readonly name: string,
    private readonly time: FakeClock,
  ) {
    this.loop = ModelEventLoop.create(time);
    this.clock = {
      nowMs: () => this.monotonicMs,
      wallMs: () => modelEpochMs + time.nowMs(),
      bootMs: () => time.nowMs(),
      sleep: (durationMs, signal) =>
        new Promise((resolve) => {
          const wakeAtMs = this.monotonicMs + Math.max(durationMs, minTimerMs);
          this.wakeAt(wakeAtMs, signal, resolve);
        }),
      nextTurn: () => new Promise((resolve) => this.runAfterTurn(resolve)),
    };
  }

  static create(name: string, time: FakeClock): ModelProcess {
    return new ModelProcess(name, time);
  }

  /** Whether the process exists, frozen or not. */
  get isAlive(): boolean {
    return this.state.kind !== 'killed';
  }

  /** Resolves when the process is killed. */
  get end(): Promise<unknown> {
    return this.killed.promise;
  }

  /** Resolves when what the process sends now leaves it: a slow process sends at the end of a step. */
  get departure(): Promise<unknown> {
    const leftMs = this.state.kind === 'slow' ? this.loop.stepLeftMs : 0;
    return leftMs > 0 ? this.time.sleep(leftMs) : Promise.resolve();
  }

  /** Handles a message, now or when the process comes to it. */
  receive(handle: Step): void {
    this.handle(this.loop.messages, handle);
  }

  /**
   * Reads a request from a new connection. A slow process accepts one connection in each turn, and reads from it in
   * the next one.
   *
   * @param read - reads the request
   * @param onAccept - is told that the connection is accepted
   * @returns a promise that resolves when the request is read
   */
  accept(read: Step, onAccept: Step = () => undefined): Promise<unknown> {
    const done = createDeferred<undefined>();
    const readRequest = (): void => {
      read();
      done.resolve(undefined);
    };
    if (this.isSlow) {
      this.loop.connections.push({ accept: onAccept, read: readRequest });
      return done.promise;
    }
    this.handle(this.loop.messages, () => {
      onAccept();
      readRequest();
    });
    return done.promise;
  }

  /** Waits for a time that passes while sockets are read; between two turns of a slow process it has passed. */
  afterReading(durationMs: number): Promise<void> {
    return this.isSlow ? Promise.resolve() : this.clock.sleep(durationMs);
  }

  freeze(): void {
    if (isWorking(this.state)) {
      this.state = { kind: 'frozen', next: this.state };
    }
  }

  suspend(): void {
    if (isWorking(this.state)) {
      this.state = { kind: 'suspended', sinceMs: this.time.nowMs(), next: this.state };
    }
  }

  /** Ends a freeze or a suspension. */
  async thaw(): Promise<void> {
    const { state } = this;
    switch (state.kind) {
      case 'running':
      case 'slow':
      case 'killed':
        return;
      case 'frozen':
      case 'suspended':
        this.suspendedMs += this.suspensionMs;
        return this.work(state.next);
      default:
        return unreachable(state);
    }
  }

  /** Makes the turns of the event loop long, until `speedUp`. */
  async slowDown(turnsMs: readonly number[]): Promise<void> {
    return this.changeSpeed({ kind: 'slow', turnsMs });
  }

  async speedUp(): Promise<void> {
    return this.changeSpeed({ kind: 'running' });
  }

  kill(): void {
    this.state = { kind: 'killed' };
    this.loop.clear();
    this.killed.resolve(undefined);
  }

  /** Whether the process is slow, or will be when it is thawed. */
  private get isSlow(): boolean {
    const { state } = this;
    const working = 'next' in state ? state.next : state;
    return working.kind === 'slow';
  }

  private get suspensionMs(): number {
    return this.state.kind === 'suspended' ? this.time.nowMs() - this.state.sinceMs : 0;
  }

  private get monotonicMs(): number {
    return this.time.nowMs() - this.suspendedMs - this.suspensionMs;
  }

  private async changeSpeed(next: WorkingState): Promise<void> {
    const { state } = this;
    switch (state.kind) {
      case 'running':
      case 'slow':
        return this.work(next);
      case 'frozen':
      case 'suspended':
        this.state = { ...state, next };
        return;
      case 'killed':
        return;
      default:
        return unreachable(state);
    }
  }

  /** Works on: a running process handles at once what waits, a slow one in its turns. */
  private async work(state: WorkingState): Promise<void> {
    switch (state.kind) {
      case 'running':
        this.state = state;
        this.isCatchingUp = true;
        await this.loop.runAll();
        this.isCatchingUp = false;
        this.resumeWaiters();
        return;
      case 'slow': {
        // A state of its own ends the turns of an earlier slow state.
        const slow = { ...state };
        this.state = slow;
        void this.loop.takeTurns(slow.turnsMs, () => this.state === slow);
        return;
      }
      default:
        return unreachable(state);
    }
  }

  /** Lets what waited for a turn of the slow process go on, once a process that reads at once has read what waited. */
  private resumeWaiters(): void {
    for (const run of this.loop.takeWaiters()) {
      void this.time.sleep(catchUpMs).then(() => this.resume(run));
    }
  }

  /** Runs what has waited for a turn, or lets it wait for that of a process that is slow again. */
  private resume(run: Step): void {
    this.handle(this.isSlow ? this.loop.waiters : this.loop.messages, run);
  }

  /** Wakes a sleeper at a time on the monotonic clock, again and again until that time has come. */
  private wakeAt(wakeAtMs: number, signal: AbortSignal | undefined, wake: () => void): void {
    const check = (): void => {
      const isEarly = this.monotonicMs + maxRoundingMs < wakeAtMs && signal?.aborted !== true;
      return isEarly ? this.wakeAt(wakeAtMs, signal, wake) : wake();
    };
    void this.time
      .sleep(wakeAtMs - this.monotonicMs, signal)
      .then(() => (signal?.aborted === true ? this.interrupt(check) : this.fire(check)));
  }

  /**
   * Runs a callback once what waits now is read. In a slow process that is after the messages of the next turn, and
   * otherwise after the messages that wait.
   */
  private runAfterTurn(run: Step): void {
    if (this.isSlow || this.isCatchingUp) {
      this.loop.waiters.push(run);
      return;
    }
    if (this.loop.messages.length > 0) {
      this.loop.messages.push(run);
      return;
    }
    this.handle(this.loop.messages, run);
  }

  /** Fires a timer that is due. */
  private fire(check: Step): void {
    this.handle(this.loop.timers, check);
  }

  /** Ends a sleep early: a step of the process itself does so, which needs no turn. */
  private interrupt(check: Step): void {
    return this.state.kind === 'slow' ? check() : this.fire(check);
  }

  private handle(waiting: Step[], run: Step): void {
    switch (this.state.kind) {
      case 'running':
        run();
        return;
      case 'frozen':
      case 'suspended':
      case 'slow':
        waiting.push(run);
        return;
      case 'killed':
        return;
      default:
        return unreachable(this.state);
    }
  }
}

const isWorking = (state: ProcessState): state is WorkingState =>
  state.kind === 'running' || state.kind === 'slow';
