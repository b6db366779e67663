/**
 * Schemas of what a daemon has learned of run times and of workers.
 */
import { z } from 'zod';

/** Quantities that the run time of a task is computed from. */
export const featureCount = 3;

/** Sums of weighted least squares for the run times of one route. */
export const lengthSumsSchema = z.object({
  routeId: z.string(),
  /** Number of observations, in which older ones count less. */
  observations: z.number().nonnegative(),
  /** Products of each pair of features, row by row. */
  products: z.array(z.number()).length(featureCount ** 2),
  targets: z.array(z.number()).length(featureCount),
});
export type LengthSums = z.infer<typeof lengthSumsSchema>;

export const workerSlownessSchema = z.object({
  workerId: z.string(),
  /** Run time there over the expected run time on a typical worker. */
  slowness: z.number().positive(),
});
export type WorkerSlowness = z.infer<typeof workerSlownessSchema>;

export const learnedSchema = z.object({
  lengths: z.array(lengthSumsSchema),
  speeds: z.array(workerSlownessSchema),
});
export type Learned = z.infer<typeof learnedSchema>;
