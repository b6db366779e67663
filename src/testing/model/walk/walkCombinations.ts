/**
 * Runs the scenarios of a walk, and records for each combination of troubles what breaks a rule.
 */
import type { Violation } from '../violations.js';
import type { Scenario } from '../modelEvents.js';
import { runScenario } from '../runScenario.js';
import type { Combination, WalkSituation } from './pairWalk.js';
import { findRunningWorkers } from './runningWorkers.js';
import { situations } from './situations.js';
import type { Situation } from './situations.js';

/** What a combination of troubles broke. */
export interface CombinationResult {
  readonly troubles: readonly string[];
  readonly scenarios: number;
  readonly broken: readonly BrokenScenario[];
}

export interface BrokenScenario {
  readonly scenario: Scenario;
  readonly violation: Violation;
}

/** @returns all situations, or the one of a name, with the workers that get into trouble there */
export const prepareSituations = async (name?: string): Promise<WalkSituation[]> => {
  const chosen = situations.filter((one) => name === undefined || one.name === name);
  return Promise.all(chosen.map(prepare));
};

const prepare = async (situation: Situation): Promise<WalkSituation> => {
  const workers = await findRunningWorkers(situation);
  if (workers.length === 0) {
    throw new Error(`Nothing runs in the situation "${situation.name}".`);
  }
  return { ...situation, workers };
};

/** Runs the scenarios of a combination one after the other. */
export const walkCombination = async ({
  troubles,
  scenarios,
}: Combination): Promise<CombinationResult> => {
  const broken: BrokenScenario[] = [];
  for (const scenario of scenarios) {
    const violation = findWorst((await runScenario(scenario)).violations);
    if (violation !== undefined) {
      broken.push({ scenario, violation });
    }
  }
  return { troubles, scenarios: scenarios.length, broken };
};

/** @returns the scenario with the longest overlap of two runs; else the first one that breaks a rule */
export const worstOf = ({ broken }: CombinationResult): BrokenScenario | undefined =>
  [...broken].sort((a, b) => severityOf(b.violation) - severityOf(a.violation))[0];

const findWorst = (violations: readonly Violation[]): Violation | undefined =>
  [...violations].sort((a, b) => severityOf(b) - severityOf(a))[0];

const otherSeverity = 1_000_000;

/** Length of the overlap of two runs, in milliseconds; other violations count as long ones. */
const severityOf = (violation: Violation): number =>
  violation.rule === 'twice' ? violation.overlapMs : otherSeverity;
