import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Scenario } from '../testing/model/modelEvents.js';
import { runScenario } from '../testing/model/runScenario.js';
import { createDeadlyTaskPairs } from '../testing/model/walk/deadlyTaskWalk.js';
import { endTroubles } from '../testing/model/walk/endTroubles.js';
import { createLateCallerPairs } from '../testing/model/walk/lateCallerWalk.js';
import { createLateStartPairs } from '../testing/model/walk/lateStartWalk.js';
import { createMissingKindPairs } from '../testing/model/walk/missingKindWalk.js';
import { createDaemonPairs, createPairs } from '../testing/model/walk/pairWalk.js';
import type { Combination } from '../testing/model/walk/pairWalk.js';
import { samplePairs } from '../testing/model/walk/samplePairs.js';
import { createShortTaskPairs } from '../testing/model/walk/shortTaskWalk.js';
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

/** Whether a trouble hits the dispatcher, which ordered some of the late starts. */
const isOfDispatcher = (name: string): boolean => name.endsWith('of dispatcher');

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
test('no job fails since its workers crashed one after the other', async () => {
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
  const isSlow = ({ troubles }: Combination): boolean =>
    troubles.some((one) => one.startsWith('slow'));
  const others = pairs.filter((one) => !isSlow(one));
  await checkScenarios([
    ...samplePairs(others, sample),
    ...samplePairs(pairs.filter(isSlow), sample),
  ]);
});

// Guards against jobs that are answered as failed since workers crash on which their short runs had just ended.
test('no job fails since its workers crash after short runs of it', async () => {
  const everyTenth = endTroubles.filter((_, index) => index % 10 === 0);
  const pairs = await createShortTaskPairs(everyTenth);
  await checkScenarios(pairs.flatMap(({ scenarios }) => scenarios));
});

// Guards against jobs that are answered as failed while all workers that they need are away.
test('no job fails since all workers of a kind are missing for a while', async () => {
  await checkScenarios(samplePairs(createMissingKindPairs(), sample));
});

// Guards against a task that takes more workers with it since the daemons that counted its crashes were lost.
test('no two kills of daemons let a task that crashes its workers start again and again', async () => {
  await checkScenarios(
    scenariosAt(
      createDeadlyTaskPairs(moments),
      ['kill, long of requester', 'kill, long of dispatcher'],
      [0, 1, 2, 3, 4, 5, 6, 7, 8, 9],
    ),
  );
});

// Guards against a task that takes more workers with it beside any troubles of its daemons.
test('no sampled trouble lets a task that crashes its workers start again and again', async () => {
  await checkScenarios(samplePairs(createDeadlyTaskPairs(moments), sample));
});

// Guards against starts that are carried out in the next lifetime of their worker, beside the next run of their task.
test('no start that is late beside a crash of its worker runs a task twice', async () => {
  const pairs = createLateStartPairs();
  const broken = scenariosAt(pairs, ['held up, from all', 'none'], [8, 17, 26, 35]);
  const others = pairs.filter(({ troubles }) => !troubles.some(isOfDispatcher));
  await checkScenarios([...broken, ...samplePairs(others, sample)]);
});

// Guards against late starts that a dispatcher has told nobody of, and which then is killed or suspended.
test('no late start of a dispatcher that has told of it runs a task twice', async () => {
  const pairs = createLateStartPairs();
  const late = 'held up, from all';
  await checkScenarios([
    ...scenariosAt(pairs, [late, 'kill, long of dispatcher'], [14, 20, 26, 29, 34, 35]),
    ...scenariosAt(pairs, [late, 'suspension 900 ms of dispatcher'], [31]),
  ]);
});

// Guards against late starts, and two dispatchers of one address, where the next lifetime of a worker has another id.
test('no late start for an earlier id of a worker runs a task twice', async () => {
  const pairs = createLateStartPairs({ takesNewId: true });
  const troubles = ['held up, from all', 'kill, long of dispatcher'] as const;
  await checkScenarios([
    ...scenariosAt(pairs, troubles, [1, 13, 20, 34]),
    ...samplePairs(pairs, sample),
  ]);
});

// Guards against late starts of a killed dispatcher, beside the next attempt of their caller at another daemon.
test('no late start of a killed dispatcher runs a task twice', async () => {
  const pairs = createLateStartPairs();
  const troubles = ['held up, from all', 'kill, long of dispatcher'] as const;
  await checkScenarios(scenariosAt(pairs, troubles, [1, 13, 20, 34]));
});

// Guards against a job that starts beside its first attempt, whose caller has left unnoticed, at any daemon of the fleet.
test('no attempt of a caller whose ends are lost runs beside an earlier one', async () => {
  const early = createLateCallerPairs().filter(({ troubles }) =>
    troubles.some((one) => one.startsWith('ends lost')),
  );
  const scenariosOf = (name: string, cut: string, chosen: readonly number[]): Scenario[] =>
    scenariosAt(early, [`ends lost at ${name}`, cut], chosen);
  await checkScenarios([
    ...scenariosOf('first daemon, left after 100 ms', 'none', [0, 3, 6, 7, 8]),
    ...scenariosOf('first daemon, left after 300 ms', 'silent', [72, 79, 86, 93]),
    ...scenariosOf('all daemons, left after 300 ms', 'none', [0, 1, 2, 3, 4, 5, 6, 7, 8]),
    ...samplePairs(early, sample),
  ]);
});

test.run();
