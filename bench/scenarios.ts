/**
 * The scenarios of the bench: the arrival rates of each, and the fault that it injects.
 */
import { z } from 'zod';
import { unreachable } from '../src/errors/unreachable.js';
import type { Clock } from '../src/ports/clock.js';
import type { LoadPhase } from '../standins/load/requestPlan.js';
import type { SystemUnderTest } from './system.js';

export const scenarioSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('quiet') }),
  z.object({ kind: z.literal('burst') }),
  z.object({ kind: z.literal('trial-flood') }),
  z.object({ kind: z.literal('straggler') }),
  z.object({ kind: z.literal('failing-worker') }),
  z.object({ kind: z.literal('daemon-killed') }),
  z.object({ kind: z.literal('rolling-restart') }),
  z.object({ kind: z.literal('log-outage') }),
  z.object({ kind: z.literal('domain-cut') }),
  z.object({ kind: z.literal('resubmission-storm') }),
]);
export type Scenario = z.infer<typeof scenarioSchema>;

/** All scenarios, in the order in which they run. */
export const allScenarios: readonly Scenario[] = scenarioSchema.options.map((option) =>
  scenarioSchema.parse({ kind: option.shape.kind.value }),
);

/** Sizes that the arrival rates are computed from. */
export interface LoadSizes {
  readonly durationMs: number;
  /** Tasks a second that all slots together can run. */
  readonly capacityTasksPerS: number;
  /** Largest share of the slots that trial tasks may use. */
  readonly trialSlotShare: number;
}

/** Arrival rates as shares of the capacity. */
const quietPayingShare = 0.3;
const quietTrialShare = 0.05;
const burstShare = 1.3;
/** Trial arrivals over the trial share of the capacity. */
const trialFloodFactor = 10;
/** Run time on the slow endpoint over its usual run time. */
const stragglerFactor = 10;
/** Time between the kill of a daemon and its restart, in milliseconds. */
const restartPauseMs = 1_000;

/**
 * Computes the arrival rates of a scenario.
 *
 * @param scenario - the scenario
 * @param sizes - duration of the load and capacity of the endpoints
 * @returns the phases of the load in their order
 */
export const planPhases = (scenario: Scenario, sizes: LoadSizes): LoadPhase[] => {
  const { durationMs, capacityTasksPerS, trialSlotShare } = sizes;
  const quiet = {
    payingTasksPerS: quietPayingShare * capacityTasksPerS,
    trialTasksPerS: quietTrialShare * capacityTasksPerS,
  };
  const thirdMs = durationMs / 3;
  switch (scenario.kind) {
    case 'burst': {
      const payingTasksPerS = burstShare * capacityTasksPerS;
      return [
        { ...quiet, durationMs: thirdMs },
        { ...quiet, payingTasksPerS, durationMs: thirdMs },
        { ...quiet, durationMs: thirdMs },
      ];
    }
    case 'trial-flood': {
      const trialTasksPerS = trialFloodFactor * trialSlotShare * capacityTasksPerS;
      return [{ ...quiet, trialTasksPerS, durationMs }];
    }
    case 'quiet':
    case 'straggler':
    case 'failing-worker':
    case 'daemon-killed':
    case 'rolling-restart':
    case 'log-outage':
    case 'domain-cut':
    case 'resubmission-storm':
      return [{ ...quiet, durationMs }];
    default:
      return unreachable(scenario);
  }
};

/**
 * @returns the share of the jobs that are resubmitted
 */
export const resubmittedShareOf = (scenario: Scenario): number =>
  scenario.kind === 'resubmission-storm' ? 0.5 : 0;

/** The fault's scenario, the system that it hits, and the duration of the run. */
export interface FaultOptions {
  readonly scenario: Scenario;
  readonly clock: Clock;
  readonly system: SystemUnderTest;
  readonly durationMs: number;
}

/**
 * Injects the fault of a scenario during its run. Resolves when the fault is healed; the faults of a
 * single endpoint stay until the end of the run.
 */
export const injectFault = async (options: FaultOptions): Promise<void> => {
  const { scenario, clock, system, durationMs } = options;
  const thirdMs = durationMs / 3;
  const [endpoint] = system.fleet.endpoints.values();
  switch (scenario.kind) {
    case 'quiet':
    case 'burst':
    case 'trial-flood':
    case 'resubmission-storm':
      return;
    case 'straggler':
      endpoint?.setFault({ kind: 'straggling', factor: stragglerFactor });
      return;
    case 'failing-worker':
      endpoint?.setFault({ kind: 'failing-all' });
      return;
    case 'daemon-killed':
      await clock.sleep(thirdMs);
      await system.kill(0);
      await clock.sleep(restartPauseMs);
      return system.restart(0);
    case 'rolling-restart':
      return restartAllDaemons(options);
    case 'log-outage':
      await clock.sleep(thirdMs);
      system.fleet.log.setFault({ kind: 'outage' });
      await clock.sleep(thirdMs);
      system.fleet.log.setFault({ kind: 'none' });
      return;
    case 'domain-cut': {
      const [domain] = system.fleet.configuration.inventory.failureDomains;
      await clock.sleep(thirdMs);
      system.cut(domain?.failureDomainId ?? '');
      await clock.sleep(thirdMs);
      system.heal();
      return;
    }
    default:
      return unreachable(scenario);
  }
};

/** Restarts the daemons one after the other, spread over the run. */
const restartAllDaemons = async ({ clock, system, durationMs }: FaultOptions): Promise<void> => {
  const pauseMs = durationMs / (system.daemonCount + 2);
  for (let position = 0; position < system.daemonCount; position += 1) {
    await clock.sleep(pauseMs);
    await system.stop(position);
    await system.restart(position);
  }
};
