/**
 * The rules on starts: how often a task that crashes its workers may start (BUDGET), and how much a worker may run at
 * the same time (LIMIT).
 */
import type { Violation } from './violations.js';
import { describeRun, isFirstTask } from './modelRun.js';
import type { ModelRun } from './modelRun.js';

/** Crashes under a task that crashes its workers, after which it may hardly start again. */
const maxCrashes = 3;
/** Starts after these crashes that break the rule. */
const startsTooMany = 3;

/** Finds the tasks that go on crashing their workers. */
export const findBudgetViolations = (runs: readonly ModelRun[]): Violation[] => {
  const deadly = runs.filter(({ spec, taskName }) => spec.isDeadly && isFirstTask(taskName));
  return [...new Set(deadly.map(({ taskName }) => taskName))].flatMap((taskName): Violation[] => {
    const ofTask = deadly.filter((run) => run.taskName === taskName);
    const crashTimes = ofTask
      .flatMap(({ how, endedAtMs }) => (how === 'crashed' ? (endedAtMs ?? []) : []))
      .sort((a, b) => a - b);
    const lastCrashMs = crashTimes[maxCrashes - 1] ?? Infinity;
    const later = ofTask.filter(({ startedAtMs }) => startedAtMs >= lastCrashMs);
    const last = later[startsTooMany - 1];
    return last === undefined ? [] : [{ rule: 'budget', detail: describeRun(last) }];
  });
};

/** Finds the starts that bring a worker over its capacity; what is being stopped still counts. */
export const findLimitViolations = (runs: readonly ModelRun[]): Violation[] =>
  runs.flatMap((run, index): Violation[] => {
    const used = runs
      .slice(0, index)
      .filter(({ workerId, life }) => workerId === run.workerId && life === run.life)
      .filter(({ endedAtMs = Infinity }) => endedAtMs > run.startedAtMs)
      .reduce((sum, { spec }) => sum + spec.cpuMillis, run.spec.cpuMillis);
    return used > run.workerCpuMillis
      ? [{ rule: 'limit', detail: `${used}: ${describeRun(run)}` }]
      : [];
  });
