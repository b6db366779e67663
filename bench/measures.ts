/**
 * Schemas of one run of the bench: what is asked, and what was measured.
 */
import { z } from 'zod';
import { classSummarySchema } from '../standins/load/loadTally.js';
import { scenarioSchema } from './scenarios.js';
import { systemSchema } from './system.js';

/** One run: a scenario on a system, with the users' mix of one configuration file. */
export const runRequestSchema = z.object({
  scenario: scenarioSchema,
  system: systemSchema,
  configurationFile: z.string(),
  seed: z.number().int(),
  durationMs: z.number().positive(),
});
export type RunRequest = z.infer<typeof runRequestSchema>;

/** Messages beyond one request and one answer for each task. */
export const wastedMeasureSchema = z.object({
  cause: z.string(),
  messagesPer1000Tasks: z.number(),
});

export const runMeasureSchema = z.object({
  request: runRequestSchema,
  classes: z.array(classSummarySchema),
  startedTasks: z.number(),
  startedTwice: z.number(),
  wrongAnswers: z.number(),
  /** Refusals as `not-run` of work that an endpoint started. */
  falseNotRun: z.number(),
  wasted: z.array(wastedMeasureSchema),
  heartbeatsPerS: z.number(),
  logAppends: z.number(),
  /** Processor time of the run's thread for each daemon, its share of load and endpoints included. */
  cpuMsPerDaemon: z.number(),
  /** Heap of the run's thread for each daemon, load and endpoints included. */
  heapMbPerDaemon: z.number(),
  eventLoopDelayP99Ms: z.number(),
});
export type RunMeasure = z.infer<typeof runMeasureSchema>;

/** Tells what promises a run broke; only our own daemons promise anything. */
export const listBrokenPromises = (run: RunMeasure): string[] => {
  const lost = run.classes.reduce((sum, { lost: count }) => sum + count, 0);
  const counts = [
    { promise: 'started twice', count: run.startedTwice },
    { promise: 'wrong answers', count: run.wrongAnswers },
    { promise: 'false not-run', count: run.falseNotRun },
    { promise: 'without any answer', count: lost },
    { promise: 'failed inside a daemon', count: countInternal(run) },
  ];
  const broken = counts.filter(({ count }) => count > 0);
  return run.request.system.kind === 'toucandyke'
    ? broken.map(({ promise, count }) => `${run.request.scenario.kind}: ${count} ${promise}`)
    : [];
};

/** A fault of our own code must not pass for an answer. */
const countInternal = (run: RunMeasure): number =>
  run.classes
    .flatMap(({ failures }) => failures)
    .filter(({ kind }) => kind === 'internal')
    .reduce((sum, { count }) => sum + count, 0);
