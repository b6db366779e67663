/**
 * Schemas of the workers that the platform lists and of their reports on the runs of tasks.
 */
import { z } from 'zod';
import { resourcesSchema } from './resources.js';

/** A worker as the platform lists it. */
export const workerRecordSchema = z.object({
  workerId: z.string(),
  /** IP number and port. */
  address: z.string(),
  serviceId: z.string(),
  failureDomainId: z.string(),
  state: z.enum(['ready', 'draining']),
  /**
   * Last start of the worker, in milliseconds since the epoch, if its entry states it; a restarted worker
   * keeps its id.
   */
  startedAtMs: z.number().int().optional(),
  capacity: resourcesSchema,
  /** Labels that tasks may require or prefer: the kind of the worker and its rack. */
  labels: z.array(z.string()),
});
export type WorkerRecord = z.infer<typeof workerRecordSchema>;

/** How a run of a task ended on a worker. */
export const runEndKindSchema = z.enum([
  'done',
  /** The task or the worker failed. */
  'failed',
  'stopped',
  /** The lease of the run expired. */
  'lapsed',
  /** Another task of its gang ended (gang scheduling: tasks that run at the same time or not at all). */
  'broken',
  /** The other tasks of its gang did not start. */
  'alone',
]);
export type RunEndKind = z.infer<typeof runEndKindSchema>;

/** A run in progress on the worker. */
export const reportedRunSchema = z.object({
  taskName: z.string(),
  run: z.number().int(),
});
export type ReportedRun = z.infer<typeof reportedRunSchema>;

/** The end of a run; the worker reports it until it is acknowledged. */
export const reportedEndSchema = z.object({
  /** Increases with each end since the start of the worker. */
  endNumber: z.number().int(),
  taskName: z.string(),
  run: z.number().int(),
  how: runEndKindSchema,
});
export type ReportedEnd = z.infer<typeof reportedEndSchema>;

/** A worker's report on its runs. */
export const workerReportSchema = z.object({
  /** The worker's own clock, in milliseconds. */
  workerClockMs: z.number(),
  /** Start of the reporting worker, in milliseconds since the epoch; changes with every restart. */
  startedAtMs: z.number().int().optional(),
  running: z.array(reportedRunSchema),
  ends: z.array(reportedEndSchema),
});
export type WorkerReport = z.infer<typeof workerReportSchema>;
