/**
 * The troubles of a worker around the end of a run: it is cut off a little before the end, so that nobody learns of it,
 * and crashes after it, to be back while its leases hold.
 */
import type { ModelEvent, WorkerChoice } from '../modelEvents.js';

/** A trouble that comes at a time that is stated from the end of a run. */
export interface EndTrouble {
  readonly name: string;
  readonly createEvents: (workerIndex: number, endAtMs: number) => ModelEvent[];
}

/** Times from the begin of a cut to the end of a run, and from there to the crash, in milliseconds. */
const cutsBeforeMs = [50, 150, 300];
const crashesAfterMs = [30, 150, 400];
const downTimesMs = [60, 150];
/** Time for which a cut outlasts the crash behind it, in milliseconds. */
const cutRestMs = 5;

type CutKind = Pick<Extract<ModelEvent, { kind: 'cut' }>, 'fault' | 'direction'>;

/** A cut and a crash behind it, each at a time from the end of the run. */
const cutAndCrash = (
  kind: CutKind,
  beforeMs: number,
  afterMs: number,
  downMs: number,
): EndTrouble => {
  const { fault, direction = 'both' } = kind;
  return {
    name: `cut ${fault} ${direction} -${beforeMs}, crash ${afterMs}, down ${downMs}`,
    createEvents: (index, endAtMs) => {
      const worker: WorkerChoice = { kind: 'numbered', index };
      const crashAtMs = endAtMs + afterMs;
      const forMs = beforeMs + afterMs + downMs + cutRestMs;
      return [
        { kind: 'cut', atMs: endAtMs - beforeMs, worker, daemon: null, forMs, ...kind },
        { kind: 'crash', atMs: crashAtMs, worker, down: 'silent', downMs },
      ];
    },
  };
};

/** Crashes after the end that nobody learned of. */
const afterEnd: readonly EndTrouble[] = cutsBeforeMs.flatMap((beforeMs) =>
  crashesAfterMs.flatMap((afterMs) =>
    downTimesMs.map((downMs) => cutAndCrash({ fault: 'silent' }, beforeMs, afterMs, downMs)),
  ),
);

/** So, too, behind cuts of other kinds. */
const afterEndBehindOthers: readonly EndTrouble[] = crashesAfterMs.flatMap((afterMs) => [
  cutAndCrash({ fault: 'silent', direction: 'back' }, 150, afterMs, 60),
  cutAndCrash({ fault: 'held-up' }, 150, afterMs, 60),
]);

/** Crashes under the run itself, seen at once or behind a cut. */
const beforeEnd: readonly EndTrouble[] = [
  cutAndCrash({ fault: 'silent' }, 150, -60, 60),
  {
    name: 'crash -60',
    createEvents: (index, endAtMs) => [
      {
        ...{ kind: 'crash', atMs: endAtMs - 60, worker: { kind: 'numbered', index } },
        ...{ down: 'refused', downMs: 150 },
      },
    ],
  },
];

export const endTroubles: readonly EndTrouble[] = [
  ...afterEnd,
  ...afterEndBehindOthers,
  ...beforeEnd,
];
