/**
 * Runs random orders of events against a fleet in virtual time (docs/design/eventOrders.md), one scenario for
 * each seed, and prints what breaks a rule, shrunk to the fewest events:
 * `npm run orders -- --seeds 1-500`. `--draw loaded-kill` draws kills under a steady load in place of any events.
 * `--scenario FILE` runs the events of a JSON file, and prints the log; with `--shrink`, only the fewest events that
 * break the same rule.
 */
import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import fc from 'fast-check';
import { daemonAndWorkerArbitrary } from '../src/testing/model/daemonAndWorkerArbitrary.js';
import { scenarioArbitrary } from '../src/testing/model/eventArbitraries.js';
import { loadedKillArbitrary } from '../src/testing/model/loadedKillArbitrary.js';
import { scenarioSchema } from '../src/testing/model/modelEvents.js';
import type { Scenario } from '../src/testing/model/modelEvents.js';
import { runScenario } from '../src/testing/model/runScenario.js';
import { slowDaemonArbitrary } from '../src/testing/model/slowDaemonArbitrary.js';
import { smallFleetArbitrary } from '../src/testing/model/smallFleetArbitrary.js';
import { createTimedLogger } from '../src/testing/model/timedLogger.js';
import { findWalkKind, walkOrders } from './walkOrders.js';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

/** What scenarios are drawn from, by the name of the option `--draw`. */
const arbitraries: ReadonlyMap<string, fc.Arbitrary<Scenario>> = new Map([
  ['any', scenarioArbitrary],
  ['loaded-kill', loadedKillArbitrary],
  ['daemon-and-worker', daemonAndWorkerArbitrary],
  ['small-fleet', smallFleetArbitrary],
  ['slow-daemon', slowDaemonArbitrary],
]);

/** A scenario that breaks a rule. */
interface FailedScenario {
  readonly scenario: Scenario;
  /** The violation; the text before the first colon is the rule. */
  readonly violation: string;
}

/** Finds what breaks a rule, among the violations that begin with a text. */
const findFailedScenario = async (
  scenario: Scenario,
  begin = '',
): Promise<FailedScenario | undefined> => {
  const { violations } = await runScenario(scenario);
  const described = violations.map(({ rule, detail }) => `${rule}: ${detail}`);
  const violation = described.find((one) => one.startsWith(begin));
  return violation === undefined ? undefined : { scenario, violation };
};

/** Leaves out one event after the other, as long as the same rule is broken. */
const shrink = async (failed: FailedScenario): Promise<FailedScenario> => {
  const [rule = ''] = failed.violation.split(':');
  for (const left of failed.scenario.events) {
    const events = failed.scenario.events.filter((event) => event !== left);
    const smaller = await findFailedScenario({ ...failed.scenario, events }, rule);
    if (smaller !== undefined) {
      return shrink(smaller);
    }
  }
  return failed;
};

/** @returns whether the scenario that a seed draws breaks a rule */
const reportSeed = async (
  arbitrary: fc.Arbitrary<Scenario>,
  seed: number,
  isShrunk: boolean,
): Promise<boolean> => {
  const [scenario] = fc.sample(fc.noBias(arbitrary), { seed, numRuns: 1 });
  const failed = scenario === undefined ? undefined : await findFailedScenario(scenario);
  if (failed === undefined) {
    return false;
  }
  print(`seed ${seed}: ${failed.violation}`);
  if (isShrunk) {
    await reportShrunk(failed);
  }
  return true;
};

const reportShrunk = async (failed: FailedScenario): Promise<void> => {
  const shrunk = await shrink(failed);
  print(`  shrunk: ${JSON.stringify(shrunk.scenario)}\n  ${shrunk.violation}`);
};

/** Prints the log and the result of a scenario, or what is left of it when it is shrunk. @returns whether it breaks a rule */
const reportScenario = async (scenario: Scenario, isShrunk: boolean): Promise<boolean> => {
  const failed = isShrunk ? await findFailedScenario(scenario) : undefined;
  if (failed !== undefined) {
    await reportShrunk(failed);
    return true;
  }
  const result = await runScenario(scenario, createTimedLogger(print));
  print(JSON.stringify(result, undefined, 2));
  return result.violations.length > 0;
};

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1-100' },
    draw: { type: 'string', default: 'any' },
    scenario: { type: 'string' },
    shrink: { type: 'boolean', default: false },
    walk: { type: 'string' },
    part: { type: 'string', default: '1/1' },
    situation: { type: 'string' },
    moments: { type: 'string', default: '28' },
    dense: { type: 'boolean', default: false },
    count: { type: 'string', default: '500' },
    seed: { type: 'string', default: '1' },
    only: { type: 'string', default: '' },
    out: { type: 'string' },
  },
});
if (values.walk !== undefined) {
  const { part, situation, only } = values;
  const isKept = await walkOrders(
    {
      ...{ kind: findWalkKind(values.walk), part, situation, only, outFolder: values.out },
      ...{ moments: Number(values.moments), isDense: values.dense },
      ...{ count: Number(values.count), seed: Number(values.seed) },
    },
    print,
  );
  process.exitCode = isKept ? 0 : 1;
} else if (values.scenario !== undefined) {
  const scenario = scenarioSchema.parse(JSON.parse(await readFile(values.scenario, 'utf8')));
  process.exitCode = (await reportScenario(scenario, values.shrink)) ? 1 : 0;
} else {
  const arbitrary = arbitraries.get(values.draw);
  if (arbitrary === undefined) {
    throw new Error(
      `Unknown: --draw ${values.draw}; known are ${[...arbitraries.keys()].join(', ')}.`,
    );
  }
  const [first = 1, last = first] = values.seeds.split('-').map(Number);
  let failedScenarios = 0;
  for (let seed = first; seed <= last; seed += 1) {
    failedScenarios += (await reportSeed(arbitrary, seed, values.shrink)) ? 1 : 0;
  }
  print(`${failedScenarios} of ${last - first + 1} scenarios break a rule.`);
  process.exitCode = failedScenarios === 0 ? 0 : 1;
}
