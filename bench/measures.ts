/**
 * Schemas of one run of the bench: the request and the measures.
 */
import { z } from 'zod';
import { classSummarySchema } from '../standins/load/loadTally.js';
import { scenarioSchema } from './scenarios.js';
import { systemSchema } from './system.js';

/** One run: a scenario on a system, with the mix of tasks of one configuration file. */
export const runRequestSchema = z.object({
  scenario: scenarioSchema,
  system: systemSchema,
  configurationFile: z.string(),
  seed: z.number().int(),
  durationMs: z.number().positive(),
});
export type RunRequest = z.infer<typeof runRequestSchema>;

/** Messages of one cause beyond one request and one answer for each task. */
export const wastedMeasureSchema = z.object({
  cause: z.string(),
  messagesPer1000Tasks: z.number(),
});

export const runMeasureSchema = z.object({
  request: runRequestSchema,
  classes: z.array(classSummarySchema),
  startedTasks: z.number(),
  /** Tasks that were started more than once although they must run at most once. */
  startedTwice: z.number(),
  /** Answers that do not belong to their request. */
  wrongAnswers: z.number(),
  /** Jobs that were refused as `not-run` although an endpoint had started one of their tasks. */
  falseNotRun: z.number(),
  wasted: z.array(wastedMeasureSchema),
  heartbeatsPerS: z.number(),
  logAppends: z.number(),
  /** Processor time of the run's thread divided by the daemons; includes load and endpoints. */
  cpuMsPerDaemon: z.number(),
  /** Heap of the run's thread divided by the daemons; includes load and endpoints. */
  heapMbPerDaemon: z.number(),
  eventLoopDelayP99Ms: z.number(),
});
export type RunMeasure = z.infer<typeof runMeasureSchema>;

/** @returns one line for each kind of violated guarantee; none for baselines, which give no guarantees */
export const listViolations = (run: RunMeasure): string[] => {
  const lost = run.classes.reduce((sum, { lost: count }) => sum + count, 0);
  const counts = [
    { violation: 'started twice', count: run.startedTwice },
    { violation: 'wrong answers', count: run.wrongAnswers },
    { violation: 'false not-run', count: run.falseNotRun },
    { violation: 'without any answer', count: lost },
    { violation: 'failed inside a daemon', count: countInternalErrors(run) },
  ];
  const violations = counts.filter(({ count }) => count > 0);
  return run.request.system.kind === 'toucandyke'
    ? violations.map(
        ({ violation, count }) => `${run.request.scenario.kind}: ${count} ${violation}`,
      )
    : [];
};

/** Counts requests that failed with an internal error, which a daemon must never answer. */
const countInternalErrors = (run: RunMeasure): number =>
  run.classes
    .flatMap(({ failures }) => failures)
    .filter(({ kind }) => kind === 'internal')
    .reduce((sum, { count }) => sum + count, 0);
