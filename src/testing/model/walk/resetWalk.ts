/**
 * A walk over connections that are reset at a daemon that accepts and reads late, or has just read: a caller whose request
 * was not read goes elsewhere at once. The ends of the connections arrive, come late or are lost.
 */
import type { InboundFault, ModelEvent, ModelJob, Scenario } from '../modelEvents.js';
import { createScenario, submit } from '../scenarios.js';
import { createMomentScenario } from './momentScenario.js';
import type { Combination } from './pairWalk.js';
import { connectionsBefore } from './slowSituations.js';

const submitAtMs = 2_000;
const requester = 0;
/** Times from the request to the reset, in milliseconds. */
const resetOffsetsMs = [1, 4, 20, 60, 150, 300, 450, 600, 900, 1_300];
/** Connections that wait before that of the job. */
const connectionCounts = [0, 2, 5];
const faultMs = 6_000;
/** Time from the begin of a daemon's trouble to the request, in milliseconds. */
const leadMs = 100;

/** What keeps a daemon from reading at once. */
interface LateReading {
  readonly name: string;
  readonly events: readonly ModelEvent[];
}

const slow = (turnMs: number): LateReading => ({
  name: `turns of ${turnMs} ms`,
  events: [
    {
      ...{ kind: 'slow', atMs: submitAtMs - leadMs, daemon: requester },
      ...{ turnsMs: [turnMs], forMs: faultMs },
    },
  ],
});

const stopped = (kind: 'freeze' | 'suspend', forMs: number): LateReading => ({
  name: `${kind} of ${forMs} ms`,
  events: [{ kind, atMs: submitAtMs - leadMs, daemon: requester, forMs }],
});

const lateReadings: readonly LateReading[] = [
  { name: 'reads at once', events: [] },
  ...[50, 100, 200, 350, 500].map(slow),
  ...[400, 900, 1_500].map((forMs) => stopped('freeze', forMs)),
  ...[400, 900, 1_500].map((forMs) => stopped('suspend', forMs)),
];

/** How the ends of connections fare. */
const ends: readonly (readonly [name: string, fault: InboundFault | undefined])[] = [
  ['ends arrive', undefined],
  ...[30, 200, 700].map(
    (byMs) => [`callers ${byMs} ms late`, { kind: 'late-clients', byMs }] as const,
  ),
  ['ends lost', { kind: 'lost-ends' }],
];

const lengths: readonly (readonly [name: string, job: Partial<ModelJob>])[] = [
  ['short', { tasks: 4, runMs: 60, estimatedMs: 60, deadlineMs: 1_500 }],
  ['long', { tasks: 3, runMs: 900, estimatedMs: 900, deadlineMs: 2_000 }],
];

/** Daemons and workers in one failure domain, or in three. */
const topologies: readonly string[][] = [
  ['east', 'east', 'east'],
  ['east', 'west', 'south'],
];

const createScenarios = (
  reading: LateReading,
  fault: InboundFault | undefined,
  job: Partial<ModelJob>,
): Scenario[] =>
  topologies.flatMap((daemons, topology) =>
    resetOffsetsMs.flatMap((offsetMs, moment) => {
      const calm = createScenario(
        daemons,
        daemons.map((domain) => [domain, 2]),
        [submit(submitAtMs, { daemon: requester, ...job })],
      );
      const count = connectionCounts[(moment + topology) % connectionCounts.length] ?? 0;
      return createMomentScenario(calm, topology + moment, [
        ...connectionsBefore({ requester, submitAtMs }, count),
        ...reading.events,
        { kind: 'reset', atMs: submitAtMs + offsetMs, daemon: requester },
        ...(fault === undefined
          ? []
          : [
              {
                ...{ kind: 'inbound' as const, atMs: submitAtMs - leadMs, daemon: requester },
                ...{ fault, forMs: faultMs },
              },
            ]),
      ]);
    }),
  );

/** Each way of reading late, with each way in which the ends of connections fare. */
export const createResetPairs = (): Combination[] =>
  lateReadings.flatMap((reading) =>
    ends.flatMap(([endName, fault]) =>
      lengths.map(([length, job]) => ({
        troubles: [`reset, ${reading.name}`, `${endName}, ${length} tasks`],
        scenarios: createScenarios(reading, fault, job),
      })),
    ),
  );
