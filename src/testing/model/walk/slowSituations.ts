/**
 * The situations that slow daemons are met in: a caller leaves, early or at its deadline, and comes back elsewhere, while
 * its tasks run on several workers of their requester or of other daemons.
 */
import type { ModelEvent, ModelJob } from '../modelEvents.js';
import { createScenario, submit } from '../scenarios.js';
import type { Situation } from './situations.js';

/** A situation, and when the job comes and its caller leaves. */
export interface SlowSituation extends Situation {
  readonly submitAtMs: number;
  readonly leavesAtMs: number;
}

const submitAtMs = 1_000;
const requester = 2;
const tasks = { cpuMillis: 10_000, requiredLabel: 'b', maxAttempts: 3 };

/** Short jobs whose connections come just before that of the job. */
const connectionJob = { runMs: 60, estimatedMs: 60, cpuMillis: 1_000, deadlineMs: 6_000 };
const connectionGapMs = 0.1;

/** When the caller leaves. */
interface Leaving {
  readonly name: string;
  readonly job: Pick<ModelJob, 'runMs' | 'estimatedMs' | 'deadlineMs' | 'leavesAfterMs'>;
}

const leavings: readonly Leaving[] = [
  {
    name: 'early',
    job: { runMs: 4_500, estimatedMs: 2_500, deadlineMs: 10_000, leavesAfterMs: 1_700 },
  },
  { name: 'at the deadline', job: { runMs: 4_000, estimatedMs: 600, deadlineMs: 2_000 } },
];

const situationsOf = ({ name, job }: Leaving): SlowSituation[] => {
  const leavesAtMs = submitAtMs + (job.leavesAfterMs ?? job.deadlineMs);
  const common = { requester, submitAtMs, leavesAtMs, troubleAtMs: leavesAtMs };
  const own = {
    ...{ name: `own workers, ${name}`, ...common, dispatcher: requester },
    dispatcherDomain: 'south',
    calm: createScenario(
      ['east', 'west', 'south'],
      [
        ['east', 3, 'b'],
        ['west', 1],
        ['south', 3, 'b'],
      ],
      [submit(submitAtMs, { daemon: requester, nextDaemonStep: 1, tasks: 5, ...tasks, ...job })],
    ),
  };
  const others = {
    ...{ name: `workers of others, ${name}`, ...common, dispatcher: 0, dispatcherDomain: 'east' },
    calm: createScenario(
      ['east', 'west', 'south'],
      [
        ['east', 3, 'b'],
        ['west', 3, 'b'],
        ['south', 1],
      ],
      [submit(submitAtMs, { daemon: requester, nextDaemonStep: 2, tasks: 6, ...tasks, ...job })],
    ),
  };
  return [own, others];
};

export const slowSituations: readonly SlowSituation[] = leavings.flatMap(situationsOf);

/** Other callers' connections to the requester, which are accepted before that of the job. */
export const connectionsBefore = (
  situation: Pick<SlowSituation, 'requester' | 'submitAtMs'>,
  count: number,
): ModelEvent[] =>
  Array.from({ length: count }, (_, index) =>
    submit(situation.submitAtMs - (count - index) * connectionGapMs, {
      ...{ daemon: situation.requester, maxAttempts: 1, ...connectionJob },
    }),
  );
