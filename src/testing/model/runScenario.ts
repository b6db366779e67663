/**
 * Runs a list of events against a fleet of the model, and judges the result.
 */
import { silentLogger } from '../silentLogger.js';
import { applyEvent } from './applyEvent.js';
import { findCalmSinceMs } from './calmTime.js';
import { judge } from './judge.js';
import type { ModelRecord } from './judge.js';
import type { Violation } from './violations.js';
import type { Scenario } from './modelEvents.js';
import { ModelFleet, maxFailedRuns } from './modelFleet.js';
import type { CreateLogger } from './modelFleet.js';

/** Time after the last answer in which runs that are left over would show, in milliseconds. */
const settleMs = 3_000;
/** Time in which every scenario ends, in milliseconds. */
const maxScenarioMs = 60_000;
const stepMs = 500;

/** What a scenario showed. */
export interface ScenarioResult {
  readonly violations: readonly Violation[];
  /** Number of runs that the workers started. */
  readonly runCount: number;
  /** What the clients were told, in order. */
  readonly answers: readonly string[];
}

/** Runs a scenario, and judges it. */
export const runScenario = async (
  scenario: Scenario,
  createLogger: CreateLogger = () => silentLogger,
): Promise<ScenarioResult> => {
  const record = await recordScenario(scenario, createLogger);
  const { runs, attempts } = record;
  return {
    violations: judge(record),
    runCount: runs.length,
    answers: attempts.map(({ attemptId, answer }) => `${attemptId} ${answer?.kind ?? 'waits'}`),
  };
};

/** Runs a scenario, and waits until all jobs have ended. */
export const recordScenario = async (
  scenario: Scenario,
  createLogger: CreateLogger = () => silentLogger,
): Promise<ModelRecord> => {
  const rejections: string[] = [];
  const onRejection = (reason: unknown): void => void rejections.push(String(reason));
  process.on('unhandledRejection', onRejection);
  const fleet = await ModelFleet.create(scenario, createLogger);
  const beginMs = fleet.time.nowMs();
  const events = [...scenario.events].sort((a, b) => a.atMs - b.atMs);
  const taskCounts = new Map<string, number>();
  for (const event of events) {
    const submissions = taskCounts.size;
    if (event.kind === 'submit') {
      taskCounts.set(fleet.jobIdAt(submissions), event.job.tasks);
    }
    fleet.at(event.atMs, () => applyEvent(fleet, event, submissions));
  }
  while (!fleet.isSettled && fleet.elapsedMs < maxScenarioMs) {
    await fleet.runUntil(fleet.elapsedMs + stepMs);
  }
  await fleet.runUntil(fleet.elapsedMs + settleMs);
  fleet.close();
  process.off('unhandledRejection', onRejection);
  const { runs, clients } = fleet;
  const { attempts, cancellations } = clients;
  return {
    ...{ runs, attempts, cancellations, rejections, taskCounts, maxFailedRuns, beginMs },
    calmSinceMs: beginMs + findCalmSinceMs(events),
  };
};
