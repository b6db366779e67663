/**
 * Charges the workers that are lost to the tasks that ran there, by what is known of each loss.
 */
import { unreachable } from '../errors/unreachable.js';
import type { Logger } from '../ports/logger.js';
import type { ActiveRun } from './activeRun.js';
import type { DoubtedStarts } from './doubtedStarts.js';
import type { LapsedRuns, ResolvedRun } from './lapsedRuns.js';
import type { CrashSign } from './lifetimeEnd.js';
import { consequenceOf, suspicionOf } from './runEvidence.js';
import type { RunEvidence } from './runEvidence.js';
import type { TaskRetries } from './taskRetries.js';
import type { WorkerRecord } from '../types/workers.js';
import type { AnsweringLifetime } from './workerLifetime.js';

export interface LostRunsOptions {
  readonly logger: Logger;
  readonly lapsedRuns: LapsedRuns;
  readonly doubts: DoubtedStarts;
  readonly retries: TaskRetries;
}

export class LostRuns {
  private constructor(private readonly options: LostRunsOptions) {}

  static create(options: LostRunsOptions): LostRuns {
    return new LostRuns(options);
  }

  /** Records a run whose start may still be carried out. */
  recordUnanswered(workerId: string, run: ActiveRun): void {
    this.options.doubts.recordUnanswered(startIdOf(run), run.taskName, workerId);
  }

  /** Counts the worker of a run that has ended as lost under its task, if it is. */
  recordEnd(
    { workerId, startedAtMs: listedStartMs }: WorkerRecord,
    run: ActiveRun,
    evidence: RunEvidence,
  ): void {
    const { doubts, lapsedRuns, retries } = this.options;
    const suspicion = suspicionOf(evidence);
    const lossId = lossIdOf(run);
    if (consequenceOf(evidence).kind !== 'must-not-start') {
      doubts.resolve(startIdOf(run));
    }
    switch (suspicion) {
      case 'none':
        if (run.startedAtMs !== undefined) {
          retries.recordStart(run.task, lossId);
        }
        return;
      case 'suspected':
        lapsedRuns.remember({ ...run, workerId, lossId, listedStartMs });
        retries.recordLoss(run.task, { id: lossId, status: 'awaited' });
        return;
      case 'likely':
      case 'unclear':
        retries.recordLoss(run.task, { id: lossId, status: suspicion });
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

  /** Counts what the entries of all workers tell of the runs that lapsed, also of workers that answer to other daemons. */
  resolveListed(records: readonly WorkerRecord[]): void {
    const { lapsedRuns } = this.options;
    lapsedRuns.resolveListed(records).forEach((resolved) => this.settle(resolved));
  }

  private settle({ run, end }: ResolvedRun): void {
    const { logger, retries } = this.options;
    const { workerId, taskName, task, lossId } = run;
    switch (end.kind) {
      case 'none':
        retries.recordLoss(task, { id: lossId, status: 'none' });
        return;
      case 'likely-under-run':
        logger.warn('A worker has likely crashed under a run that lapsed.', {
          workerId,
          taskName,
          reason: describeSign(end.sign),
          leaseLeftMs: Math.round(end.beforeLeaseEndMs),
        });
        retries.recordLoss(task, { id: lossId, status: 'likely' });
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
        retries.recordLoss(task, { id: lossId, status: 'unclear' });
        return;
      default:
        return unreachable(end);
    }
  }
}

/** Identifies the start of a run among those of all tasks. */
const startIdOf = ({ task, taskName, run }: ActiveRun): string =>
  `${task.batch.batchId}/${taskName}.${run}`;

/** Identifies the loss of a run: a batch has one dispatcher, which numbers the runs of each of its tasks. */
const lossIdOf = ({ task, run }: Pick<ActiveRun, 'task' | 'run'>): string =>
  `${task.batch.batchId}.${run}`;

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
