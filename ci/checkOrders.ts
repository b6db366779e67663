/**
 * Plays random orders of events against a fleet in virtual time (docs/design/eventOrders.md), one play for
 * each seed, and prints what breaks a rule, shrunk to the fewest events:
 * `npm run orders -- --seeds 1-500`. `--play FILE` plays the events of a JSON file, and prints the log.
 */
import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import fc from 'fast-check';
import { playArbitrary } from '../src/testing/model/eventArbitraries.js';
import { modelPlaySchema } from '../src/testing/model/modelEvents.js';
import type { ModelPlay } from '../src/testing/model/modelEvents.js';
import { playEvents } from '../src/testing/model/playEvents.js';
import { createTimedLogger } from '../src/testing/model/timedLogger.js';

/** Time after which shrinking stops, in milliseconds. */
const maxShrinkMs = 40_000;

const print = (line: string): void => void process.stdout.write(`${line}\n`);

/** @returns what breaks a rule, one line each */
const findFaults = async (play: ModelPlay): Promise<string[]> => {
  const { violations } = await playEvents(play);
  return violations.map(({ rule, detail }) => `${rule}: ${detail}`);
};

/** A play that breaks a rule. */
interface FaultyPlay {
  readonly play: ModelPlay;
  /** The fault; the text before the first colon is the rule. */
  readonly fault: string;
}

/**
 * Plays what a seed draws.
 *
 * @param seed - the seed
 * @param rule - only faults whose text begins with it count
 * @param isShrunk - whether to look for the fewest events that break the rule
 */
const checkSeed = async (
  seed: number,
  rule: string,
  isShrunk: boolean,
): Promise<FaultyPlay | undefined> => {
  let last: FaultyPlay | undefined;
  const keepsRule = async (play: ModelPlay): Promise<void> => {
    const fault = (await findFaults(play)).find((one) => one.startsWith(rule));
    if (fault !== undefined) {
      last = { play, fault };
      throw new Error(fault);
    }
  };
  await fc.check(fc.asyncProperty(fc.noBias(playArbitrary), keepsRule), {
    seed,
    numRuns: 1,
    endOnFailure: !isShrunk,
    plugins: [fc.interruptAfterTimeLimit(maxShrinkMs)],
  });
  return last;
};

/** @returns whether the play of a seed breaks a rule */
const reportSeed = async (seed: number, isShrunk: boolean): Promise<boolean> => {
  const faulty = await checkSeed(seed, '', false);
  if (faulty === undefined) {
    return false;
  }
  print(`seed ${seed}: ${faulty.fault}`);
  if (isShrunk) {
    const [rule = ''] = faulty.fault.split(':');
    const shrunk = (await checkSeed(seed, rule, true)) ?? faulty;
    print(`  shrunk: ${JSON.stringify(shrunk.play)}\n  ${shrunk.fault}`);
  }
  return true;
};

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1-100' },
    play: { type: 'string' },
    shrink: { type: 'boolean', default: false },
  },
});
if (values.play !== undefined) {
  const play = modelPlaySchema.parse(JSON.parse(await readFile(values.play, 'utf8')));
  const result = await playEvents(play, createTimedLogger(print));
  print(JSON.stringify(result, undefined, 2));
  process.exitCode = result.violations.length === 0 ? 0 : 1;
} else {
  const [first = 1, last = first] = values.seeds.split('-').map(Number);
  let faultyPlays = 0;
  for (let seed = first; seed <= last; seed += 1) {
    faultyPlays += (await reportSeed(seed, values.shrink)) ? 1 : 0;
  }
  print(`${faultyPlays} of ${last - first + 1} plays break a rule.`);
  process.exitCode = faultyPlays === 0 ? 0 : 1;
}
