/**
 * The walks of `npm run orders` (docs/design/eventOrders.md): prints each combination of troubles that breaks a rule.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { createDeadlyTaskPairs } from '../src/testing/model/walk/deadlyTaskWalk.js';
import { createLateCallerPairs } from '../src/testing/model/walk/lateCallerWalk.js';
import { createLateStartPairs } from '../src/testing/model/walk/lateStartWalk.js';
import { createMissingKindPairs } from '../src/testing/model/walk/missingKindWalk.js';
import {
  createDaemonPairs,
  createLateGrantPairs,
  createPairs,
} from '../src/testing/model/walk/pairWalk.js';
import type { Combination } from '../src/testing/model/walk/pairWalk.js';
import { createResetPairs } from '../src/testing/model/walk/resetWalk.js';
import { createShortTaskPairs } from '../src/testing/model/walk/shortTaskWalk.js';
import { createSlowDaemonPairs } from '../src/testing/model/walk/slowDaemonWalk.js';
import { drawTriples } from '../src/testing/model/walk/tripleWalk.js';
import {
  prepareSituations,
  walkCombination,
  worstOf,
} from '../src/testing/model/walk/walkCombinations.js';
import { createWorkerPairs } from '../src/testing/model/walk/workerPairWalk.js';
import type { CombinationResult } from '../src/testing/model/walk/walkCombinations.js';

const walkKinds = [
  ...(['pairs', 'daemons', 'workers', 'late-grants', 'triples'] as const),
  ...(['short-tasks', 'missing-kind', 'deadly-task', 'late-starts'] as const),
  ...(['late-callers', 'slow-daemons', 'resets'] as const),
];
export type WalkKind = (typeof walkKinds)[number];

/** Finds the walk of a name. */
export const findWalkKind = (name: string): WalkKind => {
  const kind = walkKinds.find((one) => one === name);
  if (kind === undefined) {
    throw new Error(`Unknown: --walk ${name}; known are ${walkKinds.join(', ')}.`);
  }
  return kind;
};

export interface WalkCommand {
  readonly kind: WalkKind;
  /** Position and number of the parts that the walk is divided into, as `1/4`. */
  readonly part: string;
  /** Name of the only situation; all if left out. */
  readonly situation: string | undefined;
  /** Number of moments of a pair. */
  readonly moments: number;
  readonly isDense: boolean;
  /** Number of triples, and the seed that draws them. */
  readonly count: number;
  readonly seed: number;
  /** Text that the names of the troubles have to contain. */
  readonly only: string;
  /** Folder for the worst scenario of each combination that breaks a rule. */
  readonly outFolder: string | undefined;
}

/** @returns whether no scenario broke a rule */
export const walkOrders = async (
  command: WalkCommand,
  print: (line: string) => void,
): Promise<boolean> => {
  const combinations = selectPart(await createCombinations(command), command);
  let brokenScenarios = 0;
  let scenarios = 0;
  for (const combination of combinations) {
    const result = await walkCombination(combination);
    scenarios += result.scenarios;
    brokenScenarios += result.broken.length;
    await report(result, command.outFolder, print);
  }
  print(
    `${brokenScenarios} of ${scenarios} scenarios, of ${combinations.length} combinations, break a rule.`,
  );
  return brokenScenarios === 0;
};

const createCombinations = async (command: WalkCommand): Promise<Combination[]> => {
  const { kind, moments, isDense, count, seed } = command;
  const situations = await prepareSituations(command.situation);
  switch (kind) {
    case 'pairs':
      return createPairs({ situations, moments, isDense });
    case 'daemons':
      return createDaemonPairs({ situations, moments, isDense });
    case 'workers':
      return createWorkerPairs(moments);
    case 'late-grants':
      return createLateGrantPairs({ situations, moments, isDense });
    case 'triples':
      return drawTriples({ situations, count, seed });
    case 'short-tasks':
      return createShortTaskPairs();
    case 'missing-kind':
      return createMissingKindPairs();
    case 'deadly-task':
      return createDeadlyTaskPairs(moments);
    case 'late-starts':
      return createLateStartPairs();
    case 'late-callers':
      return createLateCallerPairs();
    case 'slow-daemons':
      return createSlowDaemonPairs(moments);
    case 'resets':
      return createResetPairs();
  }
};

/** Deals the combinations to the parts in turn. */
const selectPart = (
  combinations: readonly Combination[],
  { part, only }: WalkCommand,
): Combination[] => {
  const [number = 1, count = 1] = part.split('/').map(Number);
  return combinations
    .filter(({ troubles }) => troubles.join(' x ').includes(only))
    .filter((_, index) => index % count === number - 1);
};

const report = async (
  result: CombinationResult,
  outFolder: string | undefined,
  print: (line: string) => void,
): Promise<void> => {
  const worst = worstOf(result);
  if (worst === undefined) {
    return;
  }
  const name = result.troubles.join(' x ');
  const { rule, detail } = worst.violation;
  const overlap =
    worst.violation.rule === 'twice' ? `, ${worst.violation.overlapMs.toFixed(0)} ms` : '';
  print(
    `${name}: ${result.broken.length} of ${result.scenarios} (worst: ${rule}${overlap}: ${detail})`,
  );
  if (outFolder !== undefined) {
    await mkdir(outFolder, { recursive: true });
    const file = `${name.replaceAll(/[^a-z0-9]+/gi, '-')}.json`;
    await writeFile(join(outFolder, file), `${JSON.stringify(worst.scenario, undefined, 1)}\n`);
  }
};
