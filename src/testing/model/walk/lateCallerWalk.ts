/**
 * A walk over callers whose requests and closes come late to a daemon, each with a trouble of the worker that runs their
 * task and a length of the task. The callers leave at their deadline, or before, and come back to another daemon.
 */
import type { InboundFault, ModelEvent, ModelJob, Scenario } from '../modelEvents.js';
import { createScenario, submit } from '../scenarios.js';
import { createMomentScenario } from './momentScenario.js';
import type { Combination } from './pairWalk.js';

const submitAtMs = 2_000;
const deadlineMs = 1_500;
/** Time for which a worker is out of reach, and a link is late, in milliseconds. */
const cutMs = 3_500;
const inboundMs = 6_000;
const delaysMs = [30, 400, 700, 900, 1_100, 1_300];
const runTimesMs = [1_400, 2_600, 4_000];
const maxEstimateMs = 500;
/** Times from the caller's leaving to the trouble of the worker, in milliseconds. */
const cutOffsetsMs = [-600, -300, -80, 100, 300, 500, 700, 800, 900, 1_000, 1_100, 1_200];

const faults: readonly (readonly [name: string, fault: InboundFault])[] = [
  ...delaysMs.map((byMs) => [`callers ${byMs} ms late`, { kind: 'late-clients', byMs }] as const),
  ...delaysMs.map((byMs) => [`all ${byMs} ms late`, { kind: 'late-all', byMs }] as const),
  ['ends of callers lost', { kind: 'lost-ends' }],
];

type Cut = Extract<ModelEvent, { kind: 'cut' }>;
const cuts: readonly (Cut['fault'] | undefined)[] = [undefined, 'silent', 'held-up', 'refusing'];

/** How a caller leaves that has had no answer. */
const departures: readonly (readonly [name: string, job: Partial<ModelJob>])[] = [
  ['at its deadline', {}],
  ['after 600 ms', { leavesAfterMs: 600 }],
];

/** Daemons and workers in one failure domain, or in two with the caller's daemon alone in its own. */
const topologies: readonly string[][] = [
  ['east', 'east', 'east'],
  ['east', 'west', 'west'],
];

/** The caller's daemon alone in its failure domain, and more daemons in the other one than it keeps contact with. */
const wideTopology: readonly string[] = ['east', 'west', 'west', 'west', 'west', 'west'];

interface ScenarioOptions {
  /** Failure domains of the daemons. */
  readonly places?: readonly string[][];
  /** Whether the callers of all daemons are late, not only those of the first one. */
  readonly isEverywhere?: boolean;
}

const createInbound = (daemon: number, fault: InboundFault): ModelEvent => ({
  ...{ kind: 'inbound', atMs: submitAtMs - 1_000, daemon, fault, forMs: inboundMs },
});

const createScenarios = (
  fault: InboundFault,
  cut: Cut['fault'] | undefined,
  job: Partial<ModelJob>,
  { places = topologies, isEverywhere = false }: ScenarioOptions = {},
): Scenario[] =>
  places.flatMap((daemons, topology) =>
    runTimesMs.flatMap((runMs, length) =>
      (cut === undefined ? cutOffsetsMs.slice(0, 1) : cutOffsetsMs).map((offsetMs, moment) => {
        const calm = createScenario(
          daemons,
          daemons.map((domain) => [domain, 1]),
          [
            submit(submitAtMs, {
              ...{ tasks: 1, runMs, estimatedMs: Math.min(runMs, maxEstimateMs), deadlineMs },
              nextDaemonStep: 1 + (moment % (daemons.length - 1)),
              ...job,
            }),
          ],
        );
        const leavesAtMs = submitAtMs + (job.leavesAfterMs ?? deadlineMs);
        return createMomentScenario(calm, topology + length + moment, [
          ...daemons
            .slice(0, isEverywhere ? daemons.length : 1)
            .map((_, daemon) => createInbound(daemon, fault)),
          ...createCut(cut, leavesAtMs + offsetMs),
        ]);
      }),
    ),
  );

const createCut = (fault: Cut['fault'] | undefined, atMs: number): ModelEvent[] =>
  fault === undefined
    ? []
    : [
        {
          ...{ kind: 'cut', atMs, fault, daemon: null, forMs: cutMs },
          worker: { kind: 'running', job: 0 },
        },
      ];

/**
 * Callers that leave at once or soon, whose ends are lost at their first daemon or at all, in front of daemons that don't
 * all know each other.
 */
const createEarlyPairs = (): Combination[] =>
  ['first daemon', 'all daemons'].flatMap((where) =>
    [100, 300, 600].flatMap((leavesAfterMs) =>
      cuts.map((cut) => ({
        troubles: [`ends lost at ${where}, left after ${leavesAfterMs} ms`, cut ?? 'none'],
        scenarios: createScenarios(
          { kind: 'lost-ends' },
          cut,
          { leavesAfterMs, deadlineMs: 4_000 },
          { places: [...topologies, [...wideTopology]], isEverywhere: where === 'all daemons' },
        ),
      })),
    ),
  );

/** Each way in which callers are late, with each way of not reaching the worker and each departure of the caller. */
export const createLateCallerPairs = (): Combination[] => [
  ...faults.flatMap(([faultName, fault]) =>
    departures.flatMap(([departure, job]) =>
      cuts.map((cut) => ({
        troubles: [`${faultName}, caller leaves ${departure}`, cut ?? 'none'] as const,
        scenarios: createScenarios(fault, cut, { ...job, nextDaemonStep: 1 }),
      })),
    ),
  ),
  ...createEarlyPairs(),
];
