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

const print = (line: string): void => void process.stdout.write(`${line}\n`);

/** A play that breaks a rule. */
interface FaultyPlay {
  readonly play: ModelPlay;
  /** The fault; the text before the first colon is the rule. */
  readonly fault: string;
}

/** Finds what breaks a rule, among the faults that begin with a text. */
const findFaultyPlay = async (play: ModelPlay, begin = ''): Promise<FaultyPlay | undefined> => {
  const { violations } = await playEvents(play);
  const faults = violations.map(({ rule, detail }) => `${rule}: ${detail}`);
  const fault = faults.find((one) => one.startsWith(begin));
  return fault === undefined ? undefined : { play, fault };
};

/** Leaves out one event after the other, as long as the same rule is broken. */
const shrink = async (faulty: FaultyPlay): Promise<FaultyPlay> => {
  const [rule = ''] = faulty.fault.split(':');
  for (const left of faulty.play.events) {
    const events = faulty.play.events.filter((event) => event !== left);
    const smaller = await findFaultyPlay({ ...faulty.play, events }, rule);
    if (smaller !== undefined) {
      return shrink(smaller);
    }
  }
  return faulty;
};

/** @returns whether the play that a seed draws breaks a rule */
const reportSeed = async (seed: number, isShrunk: boolean): Promise<boolean> => {
  const [play] = fc.sample(fc.noBias(playArbitrary), { seed, numRuns: 1 });
  const faulty = play === undefined ? undefined : await findFaultyPlay(play);
  if (faulty === undefined) {
    return false;
  }
  print(`seed ${seed}: ${faulty.fault}`);
  if (isShrunk) {
    const shrunk = await shrink(faulty);
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
