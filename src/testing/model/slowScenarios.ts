/**
 * Fixed orders of events of a slow requester, each of which leads to two runs of one task unless the daemon knows what it had
 * read when it last spoke for its callers, and for how long a request may have waited.
 */
import type { ModelEvent, Scenario } from './modelEvents.js';
import { connectionsBefore, slowSituations } from './walk/slowSituations.js';

const requester = 2;
const slowAtMs = 1_950;
const slowMs = 1_500;

/** The caller of this situation leaves at 2,700 ms. */
const createLoss = (
  name: string,
  { seed, turnMs, events }: { seed: number; turnMs: number; events: readonly ModelEvent[] },
): Scenario => {
  const calm = slowSituations.find((one) => one.name === name)?.calm;
  if (calm === undefined) {
    throw new Error(`Unknown situation: ${name}.`);
  }
  const slow: ModelEvent = {
    ...{ kind: 'slow', atMs: slowAtMs, daemon: requester },
    ...{ turnsMs: [turnMs], forMs: slowMs },
  };
  return { ...calm, seed, events: [...calm.events, slow, ...events] };
};

/** The withdrawal is about to be sent when the requester is killed; then its dispatcher loses the worker. */
export const killedSlowRequester: Scenario = createLoss('workers of others, early', {
  ...{ seed: 37, turnMs: 200 },
  events: [
    { kind: 'kill', atMs: 2_948, daemon: requester, downMs: 3_000 },
    {
      ...{ kind: 'cut', atMs: 3_479, worker: { kind: 'numbered', index: 2 } },
      ...{ daemon: null, fault: 'silent', forMs: 2_500 },
    },
  ],
});

/** A daemon that dispatches its own tasks is frozen before it has read that the caller has left. */
export const frozenSlowRequester: Scenario = createLoss('own workers, early', {
  ...{ seed: 21, turnMs: 500 },
  events: [{ kind: 'freeze', atMs: 3_183, daemon: requester, forMs: 3_000 }],
});

/** Connections before that of the job, and the lengths of the turns in which they are accepted, in milliseconds. */
const lateAccepts = [
  { turnMs: 120, connections: 8 },
  { turnMs: 200, connections: 8 },
  { turnMs: 250, connections: 6 },
  { turnMs: 400, connections: 4 },
  { turnMs: 400, connections: 8 },
];

/**
 * Jobs whose connections wait behind others in a slow requester for 0.9 to 3.2 s, while the ends of connections to it are
 * lost: their callers leave, early or at their deadline, and come back elsewhere.
 */
export const lateAcceptedRequests: readonly Scenario[] = slowSituations.flatMap((situation) =>
  lateAccepts.map(({ turnMs, connections }, index): Scenario => {
    const { calm, submitAtMs } = situation;
    return {
      ...{ ...calm, seed: index + 1 },
      events: [
        ...connectionsBefore(situation, connections),
        ...calm.events,
        {
          ...{ kind: 'slow', atMs: submitAtMs - 300, daemon: requester },
          ...{ turnsMs: [turnMs], forMs: 6_000 },
        },
        {
          ...{ kind: 'inbound', atMs: 0, daemon: requester },
          ...{ fault: { kind: 'lost-ends' }, forMs: 20_000 },
        },
      ],
    };
  }),
);
