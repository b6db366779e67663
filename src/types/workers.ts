/**
 * Schemas of what is known of workers and of what runs on them.
 */
import { z } from 'zod';
import { resourcesSchema } from './resources.js';

/** One life of a worker, as the platform lists it. */
export const workerRecordSchema = z.object({
  workerId: z.string(),
  /** IP number and port. */
  address: z.string(),
  serviceId: z.string(),
  failureDomainId: z.string(),
  state: z.enum(['ready', 'draining']),
  /** Start of this life in milliseconds since the epoch; a worker may start anew under its id. */
  bornAtMs: z.number().int(),
  capacity: resourcesSchema,
  /** Kind of the worker and its rack. */
  labels: z.array(z.string()),
});
export type WorkerRecord = z.infer<typeof workerRecordSchema>;

/** How a run of a task ended on a worker. */
export const runEndKindSchema = z.enum([
  'done',
  /** By its own fault or the worker's. */
  'failed',
  'stopped',
  /** The worker's lease ran out. */
  'lapsed',
  /** Another member of its gang ended. */
  'broken',
  /** The other members of its gang did not come. */
  'alone',
]);
export type RunEndKind = z.infer<typeof runEndKindSchema>;

/** A run that the worker has now. */
export const reportedRunSchema = z.object({
  taskName: z.string(),
  run: z.number().int(),
});
export type ReportedRun = z.infer<typeof reportedRunSchema>;

/** The end of a run, kept by the worker until it is acknowledged. */
export const reportedEndSchema = z.object({
  /** Rises with each end of one life of the worker. */
  endNumber: z.number().int(),
  taskName: z.string(),
  run: z.number().int(),
  how: runEndKindSchema,
});
export type ReportedEnd = z.infer<typeof reportedEndSchema>;

/** What a worker says of its runs. */
export const workerReportSchema = z.object({
  /** The worker's own clock, in milliseconds. */
  workerClockMs: z.number(),
  bornAtMs: z.number().int().optional(),
  running: z.array(reportedRunSchema),
  ends: z.array(reportedEndSchema),
});
export type WorkerReport = z.infer<typeof workerReportSchema>;
