/**
 * `npm run bench`: runs the scenarios on daemons of toucandyke and on the baselines, with the same load.
 * Exits with status 1 if a daemon of toucandyke violated a guarantee.
 */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import {
  formatViolations,
  formatCauses,
  formatRatios,
  formatTable,
  formatMixName,
  formatSystemName,
} from './formatRuns.js';
import type { RunMeasure, RunRequest } from './measures.js';
import { renderPage } from './page.js';
import { allScenarios } from './scenarios.js';
import type { Scenario } from './scenarios.js';
import type { SystemKind } from './system.js';
import { runGroups } from './threads/scenarioPool.js';

const usage = `Usage: npm run bench -- [--quick] [--scenario NAME] [--mix NAME] [--seed N]
                      [--seconds N] [--threads N] [--json] [--html FILE]
Scenarios: ${allScenarios.map(({ kind }) => kind).join(', ')}.
Mixes: verband (response time), quiosco (messages).
`;
const quickRunMs = 4_000;
const fullRunMs = 20_000;
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

/**
 * @param index - position of the scenario
 * @returns the mixes of the scenario: the one of `--mix`, else one of the two in turn (`--quick`) or both
 */
const chooseMixes = (index: number): string[] => {
  const all = ['verband', 'quiosco'];
  if (values.mix !== undefined) {
    return [values.mix];
  }
  return values.quick ? all.slice(index % all.length, (index % all.length) + 1) : all;
};

/** @returns the runs of one scenario and mix, one for each system */
const createGroup = (scenario: Scenario, mix: string): RunRequest[] =>
  systems.map((system) => ({
    scenario,
    system,
    configurationFile: `examples/${mix}.yaml`,
    seed: Number(values.seed),
    durationMs: Number(values.seconds ?? 0) * 1_000 || (values.quick ? quickRunMs : fullRunMs),
  }));

const printProgress = (run: RunMeasure): void => {
  const name = [
    run.request.scenario.kind,
    formatMixName(run),
    formatSystemName(run.request.system),
  ].join(', ');
  process.stderr.write(`${name}: finished.\n`);
};

const printResults = (runs: readonly RunMeasure[]): void => {
  if (values.html !== undefined) {
    writeFileSync(values.html, renderPage(runs));
  }
  if (values.json) {
    process.stdout.write(`${JSON.stringify(runs, undefined, 2)}\n`);
    return;
  }
  const violations = formatViolations(runs);
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
    ...(violations.length === 0 ? ['No guarantee was violated.'] : violations),
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
  const runs = await runGroups(groups, Number(values.threads), printProgress);
  printResults(runs);
  process.exitCode = formatViolations(runs).length === 0 ? 0 : 1;
};

await main();
