/**
 * Starts and stops runs on one worker, and resolves starts whose outcome is unknown.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { StartReply } from '../ports/workers.js';
import type { ActiveRun } from './activeRun.js';
import { maxStopMs } from './reportProcessor.js';
import type { RunTable } from './runTable.js';
import type { WorkerLink } from './workerLink.js';
import type { WorkerHealth } from './workerHealth.js';

export interface RunOrdersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly link: WorkerLink;
  readonly runs: RunTable;
  readonly health: WorkerHealth;
  /** Reads and applies the worker's report at once. */
  readonly poll: () => Promise<void>;
  /** Called with a run whose start the worker has acknowledged. */
  readonly onStart: (run: ActiveRun) => void;
}

export class RunOrders {
  private constructor(private readonly options: RunOrdersOptions) {}

  static create(options: RunOrdersOptions): RunOrders {
    return new RunOrders(options);
  }

  /** Orders the start of a run of the table; ignores the reply if the run has ended meanwhile. */
  async start(run: ActiveRun): Promise<void> {
    const { link, runs } = this.options;
    const reply = await link.start(run);
    if (runs.has(run)) {
      await this.handleStartReply(run, reply);
    }
  }

  /** Repeats the stop order until the run is no longer in the table. */
  async stop(run: ActiveRun): Promise<void> {
    const { clock, link, runs, poll } = this.options;
    run.phase = 'stopping';
    while (runs.has(run)) {
      const isStopped = await link.stop(run.taskName, run.run);
      if (isStopped) {
        run.stopAcknowledgedAtMs ??= clock.nowMs();
      }
      await clock.sleep(maxStopMs);
      if (isStopped) {
        await poll();
      }
    }
  }

  /** Stops the runs that take far longer than expected, so that their tasks start on other workers. */
  stopOverdue(): void {
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

  private async handleStartReply(run: ActiveRun, reply: StartReply): Promise<void> {
    const { link, runs, health, onStart } = this.options;
    switch (reply.kind) {
      case 'started':
        link.leaseClock.recordReading(reply.workerClockMs);
        onStart(run);
        return;
      case 'refused':
        link.leaseClock.recordReading(reply.workerClockMs);
        this.handleRefusal(run, reply.reason);
        return;
      case 'invalid':
        runs.finish(run, { kind: 'invalid', reason: reply.detail });
        return;
      case 'stale-token':
        runs.finish(run, { kind: 'not-started', reason: reply.kind });
        return;
      case 'replaced':
      case 'unhealthy':
      case 'unreachable':
        health.recordUnreachable();
        runs.finish(run, { kind: 'not-started', reason: reply.kind });
        return;
      case 'no-answer':
        await this.resolveUnknownStart(run);
        return;
      default:
        return unreachable(reply);
    }
  }

  private handleRefusal(
    run: ActiveRun,
    reason: Extract<StartReply, { kind: 'refused' }>['reason'],
  ): void {
    const { runs, health } = this.options;
    switch (reason) {
      case 'used-number':
        runs.finish(run, { kind: 'used-number' });
        return;
      case 'no-room':
        health.recordBusy();
        runs.finish(run, { kind: 'not-started', reason });
        return;
      case 'lease-over':
        runs.finish(run, { kind: 'not-started', reason });
        return;
      default:
        return unreachable(reason);
    }
  }

  /** Reads a report after a start without an answer; stops the run unless the report lists it. */
  private async resolveUnknownStart(run: ActiveRun): Promise<void> {
    await this.options.poll();
    if (this.options.runs.has(run) && run.startedAtMs === undefined) {
      await this.stop(run);
    }
  }
}
