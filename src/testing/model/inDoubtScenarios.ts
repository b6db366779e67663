/**
 * Orders of events in which a start gets no answer, and its worker crashes before the start can arrive.
 */
import type { LinkFault } from './modelNetwork.js';
import type { Scenario } from './modelEvents.js';
import { createScenario, submit } from './scenarios.js';

/** When the start is sent, in milliseconds of the scenario. */
const startAtMs = 1_253;

export interface InDoubtOptions {
  readonly tasks: number;
  /** How orders to the worker are disturbed: held up by its link, or carried out late. */
  readonly trouble: Extract<LinkFault, 'held-up'> | 'late';
  /** How long before the start the trouble begins. */
  readonly aheadMs: number;
  readonly troubleMs: number;
  /** Time after which a late order is carried out. */
  readonly lateByMs?: number;
  /** How long after the start the worker crashes. */
  readonly crashAfterMs: number;
  readonly downMs: number;
  readonly down: 'refused' | 'silent';
  readonly startsStateLifetime: boolean;
}

/** A start is held up, and its worker crashes and is back before the start arrives. */
export const createInDoubtScenario = ({
  tasks,
  trouble,
  aheadMs,
  troubleMs,
  lateByMs,
  crashAfterMs,
  downMs,
  down,
  startsStateLifetime,
}: InDoubtOptions): Scenario => {
  const worker = { kind: 'numbered', index: 0 } as const;
  const atMs = startAtMs - aheadMs;
  return {
    ...createScenario(
      ['east', 'east'],
      [['east', 3]],
      [
        submit(startAtMs, {
          ...{ daemon: 1, tasks, runMs: 1_053, estimatedMs: 1_053, deadlineMs: 10_420 },
        }),
        trouble === 'held-up'
          ? { kind: 'cut', atMs, worker, daemon: null, fault: trouble, forMs: troubleMs }
          : { kind: 'worker-fault', atMs, worker, fault: trouble, forMs: troubleMs, lateByMs },
        { kind: 'crash', atMs: startAtMs + crashAfterMs, worker, down, downMs },
      ],
    ),
    seed: 102_021,
    startsStateLifetime,
  };
};

/** The cut ends when the worker is back after a crash, so that a start of before arrives in the next lifetime. */
export const startInNextLifetimeScenario = createInDoubtScenario({
  ...{ tasks: 3, trouble: 'held-up', aheadMs: 84, troubleMs: 1_877, crashAfterMs: 1_123 },
  ...{ downMs: 466, down: 'refused', startsStateLifetime: false },
});
