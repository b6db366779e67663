/**
 * Takes a worker over: asks it with the current fencing token until no run of another dispatcher is left there, since
 * renewing the worker's leases would renew theirs, too.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { WorkerReport } from '../types/workers.js';
import { checkPauseMs } from './awaitRunEnds.js';
import type { RunTable } from './runTable.js';
import type { WorkerReports } from './workerReports.js';

/**
 * How far the worker is taken over. `confirming`: it was taken over with a lower token, and is asked whether another
 * daemon has had it since.
 */
type TakeOverState = 'pending' | 'confirming' | 'done';

export interface WorkerTakeOverOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly workerId: string;
  readonly runs: RunTable;
  readonly reports: () => WorkerReports;
  /** Called when the worker is taken over. */
  readonly onTakeOver: () => void;
}

export class WorkerTakeOver {
  private state: TakeOverState = 'pending';
  /** Reports that were requested before the last raise of the token prove nothing. */
  private tokenRaises = 0;

  private constructor(private readonly options: WorkerTakeOverOptions) {}

  static create(options: WorkerTakeOverOptions): WorkerTakeOver {
    return new WorkerTakeOver(options);
  }

  /** Whether all runs of other dispatchers have ended, so that leases may be renewed. */
  get isDone(): boolean {
    return this.state === 'done';
  }

  /** Whether the worker is taken over, or expected to be with its next answer. */
  get isDoneOrConfirming(): boolean {
    return this.state !== 'pending';
  }

  /** Records that another dispatcher may have the worker, or that nothing is known of it. */
  reset(): void {
    this.state = 'pending';
  }

  /**
   * Records that the token was raised. A worker that was taken over is asked at once, also while a hold waits for the end
   * of a run: each change of a shard raises the tokens of all, and waiting for the hold closes the worker for 0.3 s.
   */
  raiseToken(): void {
    this.tokenRaises += 1;
    switch (this.state) {
      case 'pending':
        return;
      case 'confirming':
      case 'done':
        this.state = 'confirming';
        void this.confirm();
        return;
      default:
        unreachable(this.state);
    }
  }

  /** Reads one report without renewing leases, which stops the runs of other dispatchers. */
  async attempt(): Promise<void> {
    const { clock, reports } = this.options;
    const { tokenRaises } = this;
    const report = await reports().readWithoutRenewal();
    if (report === undefined || tokenRaises !== this.tokenRaises || this.isDone) {
      return;
    }
    if (this.hasOtherRuns(report)) {
      this.state = 'pending';
      await clock.sleep(checkPauseMs);
      return;
    }
    this.finish();
  }

  private async confirm(): Promise<void> {
    const { tokenRaises } = this;
    const report = await this.options.reports().poll();
    if (tokenRaises !== this.tokenRaises || this.state !== 'confirming') {
      return;
    }
    if (report === undefined || this.hasOtherRuns(report)) {
      this.state = 'pending';
      return;
    }
    this.finish();
  }

  private hasOtherRuns({ running }: WorkerReport): boolean {
    const { runs } = this.options;
    return running.some(({ taskName, run }) => runs.get(taskName)?.run !== run);
  }

  private finish(): void {
    const { logger, workerId, onTakeOver } = this.options;
    this.state = 'done';
    logger.info('The worker is taken over.', { workerId });
    onTakeOver();
  }
}
