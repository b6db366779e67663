import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Scenario } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import { createDaemonPairs, createPairs } from '../testing/model/walk/pairWalk.js';
import type { Combination } from '../testing/model/walk/pairWalk.js';
import { samplePairs } from '../testing/model/walk/samplePairs.js';
import { createWorkerPairs } from '../testing/model/walk/workerPairWalk.js';
import { prepareSituations } from '../testing/model/walk/walkCombinations.js';

const moments = 28;
const sample = { count: 12, seed: 1 };

/** Runs scenarios, and checks that none breaks a rule. */
const checkScenarios = async (scenarios: readonly Scenario[]): Promise<void> => {
  assert.ok(scenarios.length > 0);
  for (const scenario of scenarios) {
    const { violations } = await runScenario(scenario);
    assert.equal(violations, [], JSON.stringify(scenario.events));
  }
};

/** Finds the scenarios of a combination at some of its moments. */
const scenariosAt = (
  combinations: readonly Combination[],
  troubles: readonly [first: string, second: string],
  chosen: readonly number[],
): Scenario[] => {
  const scenarios = combinations.find(
    (one) => one.troubles[0] === troubles[0] && one.troubles[1] === troubles[1],
  )?.scenarios;
  return chosen.flatMap((moment) => scenarios?.[moment] ?? []);
};

// Guards against runs that no stop reaches, beside the next attempt of the caller of their lost requester.
test('no way of not reaching a worker lets a run of a lost requester go on', async () => {
  const situations = await prepareSituations('nine tasks');
  const pairs = createPairs({ situations, moments, isDense: true });
  const unreachable = [
    'cut from all, silent',
    'cut from dispatcher, refusing',
    'cut from all, held up',
    'refusing',
    'late 2.3 s',
    'crash behind a cut, lease over',
  ];
  await checkScenarios(
    unreachable.flatMap((worker) =>
      scenariosAt(pairs, ['kill, short of requester', worker], [13, 14, 16]),
    ),
  );
});

// Guards against runs of which neither their requester nor their dispatcher is there to stop them.
test('no run goes on when its requester and its dispatcher are lost', async () => {
  const situations = await prepareSituations('deadline, other');
  const pairs = createDaemonPairs({ situations, moments, isDense: false });
  const dispatcherTroubles = ['kill, short', 'kill, long', 'freeze 1100 ms'];
  await checkScenarios(
    dispatcherTroubles.flatMap((name) =>
      scenariosAt(pairs, ['kill, long of requester', `${name} of dispatcher`], [13, 15, 17]),
    ),
  );
});

// Guards against jobs that are answered as failed for crashes of workers on which their tasks had ended before.
test('no job fails since its workers crashed one after the other, unless two crashed under it', async () => {
  const pairs = await createWorkerPairs(moments);
  const lateCrash = 'crash behind a cut, lease over';
  await checkScenarios(
    [lateCrash, 'crash, refused'].flatMap((second) =>
      scenariosAt(pairs, [lateCrash, second], [14, 17, 20, 23]),
    ),
  );
});

// Guards against pairs of troubles that no scenario names.
test('no sampled pair of a daemon and a worker in trouble breaks a rule', async () => {
  const situations = await prepareSituations();
  const pairs = createPairs({ situations, moments, isDense: false });
  await checkScenarios(samplePairs(pairs, sample));
});

test.run();
