/**
 * Starts and stops runs on one worker, and resolves starts whose outcome is unknown.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { StartReply } from '../ports/workers.js';
import { WakeableSleep } from '../utils/wakeableSleep.js';
import type { DoubtListeners } from './doubtedStarts.js';
import { recordDisconnection, recordStopOrder } from './activeRun.js';
import type { ActiveRun } from './activeRun.js';
import { evidenceOfStartReply, maxStopMs } from './runEvidence.js';
import type { UnansweredStart, UnansweredStarts } from './unansweredStarts.js';
import type { RunTable } from './runTable.js';
import type { WorkerLink } from './workerLink.js';
import type { WorkerHealth } from './workerHealth.js';

export interface RunOrdersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly link: WorkerLink;
  readonly runs: RunTable;
  readonly health: WorkerHealth;
  /** Starts at all workers that were never answered. */
  readonly unanswered: UnansweredStarts;
  /** Reads and applies the worker's report at once. */
  readonly poll: () => Promise<unknown>;
  /** Pause of the worker's holds; is ended after a start without an answer, which may mean that the worker is silent. */
  readonly sleeper: WakeableSleep;
  /** Called with a run whose start the worker has acknowledged. */
  readonly onStart: (run: ActiveRun) => void;
  /** Called with a run whose start got no answer, and that the worker does not list. */
  readonly onUnanswered?: DoubtListeners['onUnanswered'] | undefined;
  /** Called when the reply to a start is the first of a new lifetime of the worker. */
  readonly onNewLifetime: () => void;
}

/** Period of the stops of a run in doubt, unless its worker reports earlier. */
const doubtedStopPeriodMs = 1_000;

export class RunOrders {
  /** Pauses between the stops of runs in doubt, which a report of the worker ends. */
  private readonly stopPauses = new Set<WakeableSleep>();

  private constructor(private readonly options: RunOrdersOptions) {}

  static create(options: RunOrdersOptions): RunOrders {
    return new RunOrders(options);
  }

  /** Orders the start of a run of the table; ignores the reply if the run has ended meanwhile. */
  async start(run: ActiveRun): Promise<void> {
    const { clock, link, runs } = this.options;
    const requestedAtMs = clock.nowMs();
    const reply = await link.start(run, runs.permittedUntilMs);
    this.observeReply(run, reply, requestedAtMs);
    if (runs.has(run)) {
      await this.handleStartReply(run, reply);
    }
  }

  /** Repeats the stop order until the run is no longer in the table. */
  async stop(run: ActiveRun): Promise<void> {
    const { clock, link, runs, unanswered, poll } = this.options;
    unanswered.remember(run, link);
    recordStopOrder(run, clock.nowMs());
    while (runs.has(run)) {
      const { startedAtMs } = link.lifetime;
      const isStopped = await link.stop(run.taskName, run.run);
      if (isStopped && link.lifetime.startedAtMs === startedAtMs) {
        run.stopAcknowledgedAtMs ??= clock.nowMs();
        unanswered.recordConfirmed(run, link.workerId, startedAtMs);
      }
      await this.pauseAfterStop(run, isStopped);
      if (isStopped) {
        await poll();
      }
    }
  }

  /**
   * Sends the stops of runs in doubt at once, since the worker has reported, and those of unanswered starts that only an
   * earlier lifetime has confirmed; stops what is overdue.
   */
  handleReport(): void {
    const { link, runs, unanswered } = this.options;
    unanswered
      .listUnconfirmed(link.workerId)
      .filter(({ run }) => !runs.has(run))
      .forEach((start) => void this.stopUnanswered(start));
    this.stopPauses.forEach((pause) => pause.wake());
    this.stopOverdue();
  }

  /** Tells the lifetime that is there of a start that it may still get. */
  private async stopUnanswered({ run }: UnansweredStart): Promise<void> {
    const { link, unanswered } = this.options;
    const { startedAtMs } = link.lifetime;
    const isStopped = await link.stop(run.taskName, run.run);
    if (isStopped && link.lifetime.startedAtMs === startedAtMs) {
      unanswered.recordConfirmed(run, link.workerId, startedAtMs);
    }
  }

  /** Stops the runs that take far longer than expected, so that their tasks start on other workers. */
  private stopOverdue(): void {
    const { clock, logger, link, runs, health } = this.options;
    const nowMs = clock.nowMs();
    for (const run of runs.list()) {
      if (run.phase === 'running' && health.isOverdue(run, nowMs)) {
        logger.info('A run takes far longer than expected and is stopped.', {
          workerId: link.workerId,
          taskName: run.taskName,
          durationMs: Math.round(nowMs - run.startSentAtMs),
          expectedMs: Math.round(run.expectedMs),
        });
        health.recordFault();
        void this.stop(run);
      }
    }
  }

  /** Waits until a stop has taken effect, or until it is worth another try. */
  private async pauseAfterStop(run: ActiveRun, isStopped: boolean): Promise<void> {
    const { clock } = this.options;
    if (isStopped || run.phase !== 'in-doubt') {
      await clock.sleep(maxStopMs);
      return;
    }
    const pause = WakeableSleep.create(clock);
    this.stopPauses.add(pause);
    await pause.sleep(doubtedStopPeriodMs);
    this.stopPauses.delete(pause);
  }

  /** Learns from a reply to a start which lifetime of the worker it is of, and reads the worker's clock. */
  private observeReply(run: ActiveRun, reply: StartReply, requestedAtMs: number): void {
    const { clock, link, runs, unanswered, onNewLifetime } = this.options;
    if (isAnswer(reply)) {
      unanswered.forget(run, link.workerId);
    }
    switch (reply.kind) {
      case 'started':
      case 'refused':
        link.leaseClock.recordReading(reply.workerClockMs);
        if (link.lifetime.observe(reply, requestedAtMs) === 'new') {
          onNewLifetime();
        }
        if (reply.kind === 'started') {
          run.lifetimeMs ??= link.lifetime.provenBy(reply, requestedAtMs);
        }
        return;
      case 'disconnected':
        recordDisconnection(runs.list(), clock.nowMs());
        return;
      case 'invalid':
      case 'stale-token':
      case 'replaced':
      case 'unhealthy':
      case 'unreachable':
      case 'no-answer':
        return;
      default:
        return unreachable(reply);
    }
  }

  private async handleStartReply(run: ActiveRun, reply: StartReply): Promise<void> {
    const { runs, onStart } = this.options;
    const evidence = evidenceOfStartReply(reply);
    switch (evidence.kind) {
      case 'accepted':
        onStart(run);
        return;
      case 'never-accepted':
        this.recordRefusal(reply);
        runs.finish(run, evidence);
        return;
      case 'unknown':
        await this.resolveUnknownStart(run);
        return;
      default:
        return unreachable(evidence);
    }
  }

  /** Records what a refused start says of the worker's health. */
  private recordRefusal(reply: StartReply): void {
    const { health } = this.options;
    switch (reply.kind) {
      case 'refused':
        if (reply.reason === 'no-room') {
          health.recordBusy();
        }
        return;
      case 'replaced':
      case 'unhealthy':
      case 'unreachable':
        health.recordUnreachable();
        return;
      case 'started':
      case 'invalid':
      case 'stale-token':
      case 'disconnected':
      case 'no-answer':
        return;
      default:
        return unreachable(reply);
    }
  }

  /** Reads a report after a start without an answer; stops the run unless the report lists it. */
  private async resolveUnknownStart(run: ActiveRun): Promise<void> {
    this.options.sleeper.wake();
    await this.options.poll();
    if (this.options.runs.has(run) && run.startedAtMs === undefined) {
      this.options.onUnanswered?.(this.options.link.workerId, run);
      await this.stop(run);
    }
  }
}

/** Whether a reply tells what became of a start. */
const isAnswer = (reply: StartReply): boolean => evidenceOfStartReply(reply).kind !== 'unknown';
