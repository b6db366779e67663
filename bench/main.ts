/**
 * `npm run bench`: scenarios on our daemons and on the baselines, in turn, from one seed.
 */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import {
  formatBroken,
  formatCauses,
  formatRatios,
  formatTable,
  nameMix,
  nameSystem,
} from './formatRuns.js';
import type { RunMeasure, RunRequest } from './measures.js';
import { renderPage } from './page.js';
import { allScenarios } from './scenarios.js';
import type { Scenario } from './scenarios.js';
import type { SystemKind } from './system.js';
import { runAll } from './threads/scenarioPool.js';

const usage = `Usage: npm run bench -- [--quick] [--scenario NAME] [--mix NAME] [--seed N]
                      [--seconds N] [--threads N] [--json] [--html FILE]
Scenarios: ${allScenarios.map(({ kind }) => kind).join(', ')}.
Mixes: verband (response time), quiosco (messages).
`;
const quickMs = 4_000;
const wholeMs = 20_000;
const defaultThreads = 3;
const usageExitCode = 2;

const systems: readonly SystemKind[] = [
  { kind: 'toucandyke' },
  { kind: 'baseline', policy: 'random' },
  { kind: 'baseline', policy: 'least-connections' },
];

const { values } = parseArgs({
  options: {
    quick: { type: 'boolean', default: false },
    scenario: { type: 'string' },
    mix: { type: 'string' },
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string' },
    threads: { type: 'string', default: String(defaultThreads) },
    json: { type: 'boolean', default: false },
    html: { type: 'string' },
    help: { type: 'boolean', default: false },
  },
});

/** The quick bench runs each scenario with one of the two mixes in turn, the whole one with both. */
const chooseMixes = (index: number): string[] => {
  const all = ['verband', 'quiosco'];
  if (values.mix !== undefined) {
    return [values.mix];
  }
  return values.quick ? all.slice(index % all.length, (index % all.length) + 1) : all;
};

const createGroup = (scenario: Scenario, mix: string): RunRequest[] =>
  systems.map((system) => ({
    scenario,
    system,
    configurationFile: `examples/${mix}.yaml`,
    seed: Number(values.seed),
    durationMs: Number(values.seconds ?? 0) * 1_000 || (values.quick ? quickMs : wholeMs),
  }));

const showProgress = (run: RunMeasure): void => {
  const name = [run.request.scenario.kind, nameMix(run), nameSystem(run.request.system)].join(', ');
  process.stderr.write(`${name}: ended.\n`);
};

const report = (runs: readonly RunMeasure[]): void => {
  if (values.html !== undefined) {
    writeFileSync(values.html, renderPage(runs));
  }
  if (values.json) {
    process.stdout.write(`${JSON.stringify(runs, undefined, 2)}\n`);
    return;
  }
  const broken = formatBroken(runs);
  const lines = [
    `Seed ${values.seed}; ${values.threads} threads side by side; a run has all its daemons, its`,
    'endpoints and its load in one thread: processor time and heap are that thread’s, divided by the',
    'number of daemons.',
    '',
    ...formatTable(runs),
    '',
    ...formatCauses(runs),
    '',
    ...formatRatios(runs),
    '',
    ...(broken.length === 0 ? ['Every promise was kept.'] : broken),
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
};

const main = async (): Promise<void> => {
  const scenarios = allScenarios.filter(
    ({ kind }) => values.scenario === undefined || kind === values.scenario,
  );
  if (values.help || scenarios.length === 0) {
    process.stdout.write(usage);
    process.exitCode = values.help ? 0 : usageExitCode;
    return;
  }
  const groups = scenarios.flatMap((scenario, index) =>
    chooseMixes(index).map((mix) => createGroup(scenario, mix)),
  );
  const runs = await runAll(groups, Number(values.threads), showProgress);
  report(runs);
  process.exitCode = formatBroken(runs).length === 0 ? 0 : 1;
};

await main();
