/**
 * Starts and stops runs on one worker, and finds out what became of orders without an answer.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { StartReply } from '../ports/workers.js';
import type { ActiveRun } from './activeRun.js';
import type { RunTable } from './runTable.js';
import type { WorkerLink } from './workerLink.js';
import type { WorkerStanding } from './workerStanding.js';

/** Time for the end of a stopped run to be listed, in milliseconds. */
const stopListedMs = 60;

export interface RunOrdersOptions {
  readonly clock: Clock;
  readonly link: WorkerLink;
  readonly runs: RunTable;
  readonly standing: WorkerStanding;
  /** Reads the worker's report now. */
  readonly look: () => Promise<void>;
  /** Called with a run that the worker has begun. */
  readonly onBegun: (run: ActiveRun) => void;
}

export class RunOrders {
  private constructor(private readonly options: RunOrdersOptions) {}

  static create(options: RunOrdersOptions): RunOrders {
    return new RunOrders(options);
  }

  /** Orders a run of the table. */
  async start(run: ActiveRun): Promise<void> {
    const { link, runs } = this.options;
    const reply = await link.start(run);
    if (runs.has(run)) {
      await this.takeStartReply(run, reply);
    }
  }

  /** Repeats a stop until the run certainly runs no more. */
  async stop(run: ActiveRun): Promise<void> {
    const { clock, link, runs, look } = this.options;
    run.phase = 'stopping';
    while (runs.has(run)) {
      const isStopped = await link.stop(run.taskName, run.run);
      if (isStopped) {
        run.stopAcknowledgedAtMs ??= clock.nowMs();
      }
      await clock.sleep(stopListedMs);
      if (isStopped) {
        await look();
      }
    }
  }

  private async takeStartReply(run: ActiveRun, reply: StartReply): Promise<void> {
    const { link, runs, standing, onBegun } = this.options;
    switch (reply.kind) {
      case 'started':
        link.leases.read(reply.workerClockMs);
        onBegun(run);
        return;
      case 'refused':
        link.leases.read(reply.workerClockMs);
        this.takeRefusal(run, reply.reason);
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
        standing.noteRefusal();
        runs.finish(run, { kind: 'not-started', reason: reply.kind });
        return;
      case 'no-answer':
        await this.settleUnknownStart(run);
        return;
      default:
        return unreachable(reply);
    }
  }

  private takeRefusal(
    run: ActiveRun,
    reason: Extract<StartReply, { kind: 'refused' }>['reason'],
  ): void {
    const { runs, standing } = this.options;
    switch (reason) {
      case 'used-number':
        runs.finish(run, { kind: 'used-number' });
        return;
      case 'no-room':
        standing.noteBusy();
        runs.finish(run, { kind: 'not-started', reason });
        return;
      case 'lease-over':
        runs.finish(run, { kind: 'not-started', reason });
        return;
      default:
        return unreachable(reason);
    }
  }

  /** Finds out whether a start without an answer was carried out; if not, sees that it never is. */
  private async settleUnknownStart(run: ActiveRun): Promise<void> {
    await this.options.look();
    if (this.options.runs.has(run) && run.startedAtMs === undefined) {
      await this.stop(run);
    }
  }
}
