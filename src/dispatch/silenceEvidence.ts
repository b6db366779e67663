/**
 * Judges the runs of a worker that takes no orders of this daemon. The end of its leases proves the end of a run that
 * the worker has accepted. It binds a start that was never answered only in the lifetime that the start was sent to:
 * carried out in a later one, whose clock is young, it would begin a run.
 */
import { unreachable } from '../errors/unreachable.js';
import type { ActiveRun } from './activeRun.js';
import { consequenceOf } from './runEvidence.js';
import type { RunEvidence, Silence } from './runEvidence.js';

/** What is known of a worker that takes no orders of this daemon. */
export interface SilentWorker {
  /** Whether every lease that was issued there is over by its clock, however slow that is. */
  readonly haveAllLeasesEnded: boolean;
  readonly cause: Silence;
  /** Who would get a start at the worker's address that arrives only now. */
  readonly addressee: Addressee;
}

/** Who gets the orders that are still under way to a worker. */
export type Addressee =
  /** The worker, in the same lifetime or a later one. */
  | 'worker'
  /**
   * Nobody who carries them out: another worker has the address, or the worker is listed at another one. A missing
   * entry proves neither: a worker that does not reach the store may be up.
   */
  | 'nobody';

/** What is known of the order to start a run. */
type StartKnowledge =
  /** The worker has acknowledged or listed the run, so that the order is not carried out any more. */
  | 'carried-out'
  /** No answer came: the order may have been carried out, or may be later. */
  | 'unanswered';

/** Judges a run of a worker that takes no orders of this daemon. */
export const evidenceOfSilence = (run: ActiveRun, worker: SilentWorker): RunEvidence => {
  if (!worker.haveAllLeasesEnded) {
    return { kind: 'unknown', reason: 'a lease there may not have ended' };
  }
  const { cause } = worker;
  const knowledge = knowledgeOfStart(run);
  switch (knowledge) {
    case 'carried-out':
      return { kind: 'lapsed', cause };
    case 'unanswered':
      return evidenceOfUnansweredStart(worker);
    default:
      return unreachable(knowledge);
  }
};

const knowledgeOfStart = ({ startedAtMs }: ActiveRun): StartKnowledge =>
  startedAtMs === undefined ? 'unanswered' : 'carried-out';

/**
 * Judges a start that was never answered, once the leases are over. That the worker refuses its fencing token ends no
 * doubt: the next lifetime has seen no token.
 */
const evidenceOfUnansweredStart = ({ cause, addressee }: SilentWorker): RunEvidence => {
  switch (addressee) {
    case 'worker':
      return { kind: 'start-in-doubt' };
    case 'nobody':
      return { kind: 'lapsed', cause };
    default:
      return unreachable(addressee);
  }
};

/** What silence leaves of the runs of a worker; the others go on. */
export interface SilenceJudgement {
  /** Runs that have certainly ended. */
  readonly ended: readonly { readonly run: ActiveRun; readonly evidence: RunEvidence }[];
  /** Runs whose start may still be carried out. */
  readonly inDoubt: readonly ActiveRun[];
}

/** Judges the runs of a worker that takes no orders of this daemon. */
export const judgeSilence = (
  runs: readonly ActiveRun[],
  worker: SilentWorker,
): SilenceJudgement => {
  const judged = runs.map((run) => ({ run, evidence: evidenceOfSilence(run, worker) }));
  const ended = judged.filter(({ evidence }) => consequenceOf(evidence).kind !== 'must-not-start');
  const doubted = judged.filter(({ evidence }) => evidence.kind === 'start-in-doubt');
  return { ended, inDoubt: doubted.map(({ run }) => run) };
};
