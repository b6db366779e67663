/**
 * Charges the workers that are lost to the tasks that ran there, by what is known of each loss.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Logger } from '../ports/logger.js';
import type { ActiveRun } from './activeRun.js';
import type { LapsedRuns, ResolvedRun } from './lapsedRuns.js';
import type { CrashSign } from './lifetimeEnd.js';
import { suspicionOf } from './runEvidence.js';
import type { RunEvidence } from './runEvidence.js';
import type { TaskRetries } from './taskRetries.js';
import type { AnsweringLifetime } from './workerLifetime.js';

export interface LostRunsOptions {
  readonly logger: Logger;
  readonly lapsedRuns: LapsedRuns;
  readonly retries: TaskRetries;
}

export class LostRuns {
  private constructor(private readonly options: LostRunsOptions) {}

  static create(options: LostRunsOptions): LostRuns {
    return new LostRuns(options);
  }

  /** Counts the worker of a run that has ended as lost under its task, if it is. */
  recordEnd(workerId: string, run: ActiveRun, evidence: RunEvidence): void {
    const { lapsedRuns, retries } = this.options;
    const suspicion = suspicionOf(evidence);
    switch (suspicion) {
      case 'none':
        return;
      case 'suspected':
        retries.recordLoss(run.task, 'unclear');
        lapsedRuns.remember({ ...run, workerId });
        return;
      case 'likely':
      case 'unclear':
        retries.recordLoss(run.task, suspicion);
        return;
      default:
        return unreachable(suspicion);
    }
  }

  /** Counts what the lifetime that answers at the address of a worker tells of the runs that lapsed there. */
  resolveLapsed(workerId: string, answering: AnsweringLifetime): void {
    const { lapsedRuns } = this.options;
    lapsedRuns.resolve(workerId, answering).forEach((resolved) => this.settle(resolved));
  }

  private settle({ run, end }: ResolvedRun): void {
    const { logger, retries } = this.options;
    const { workerId, taskName, task } = run;
    switch (end.kind) {
      case 'none':
        retries.settleLoss(task, 'none');
        return;
      case 'likely-under-run':
        logger.warn('A worker has likely crashed under a run that lapsed.', {
          workerId,
          taskName,
          reason: describeSign(end.sign),
          leaseLeftMs: Math.round(end.beforeLeaseEndMs),
        });
        retries.settleLoss(task, 'likely');
        return;
      case 'unclear':
        logger.info('A worker may have crashed under a run that lapsed.', {
          workerId,
          taskName,
          reason: 'nothing tells whether its lifetime ended before the run',
          ...(end.afterLeaseEndMs === undefined
            ? {}
            : { leaseLeftMs: -Math.round(end.afterLeaseEndMs) }),
        });
        return;
      default:
        return unreachable(end);
    }
  }
}

const describeSign = (sign: CrashSign): string => {
  switch (sign) {
    case 'early-restart':
      return 'a later lifetime began before the ends of the lease and of the expected run time';
    case 'broken-connection':
      return 'its connection broke before the end of the lease';
    default:
      return unreachable(sign);
  }
};
