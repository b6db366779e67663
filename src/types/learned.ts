/**
 * Schemas of what a daemon has learned of the run times of tasks and of the speeds of workers.
 */
import { z } from 'zod';

/** Number of features in the regression that predicts the run time of a task. */
export const featureCount = 3;

/** Sums of the weighted least-squares regression for the run times of one route. */
export const lengthSumsSchema = z.object({
  routeId: z.string(),
  /** Number of observations, discounted by age. */
  observations: z.number().nonnegative(),
  /** Weighted sums of the products of each pair of features, row by row. */
  products: z.array(z.number()).length(featureCount ** 2),
  /** Weighted sums of the products of each feature with the observed run time. */
  targets: z.array(z.number()).length(featureCount),
});
export type LengthSums = z.infer<typeof lengthSumsSchema>;

export const workerSlowdownSchema = z.object({
  workerId: z.string(),
  /** Slowdown factor: run time on this worker over the expected run time on a typical one. */
  slowness: z.number().positive(),
});
export type WorkerSlowdown = z.infer<typeof workerSlowdownSchema>;

export const learnedSchema = z.object({
  lengths: z.array(lengthSumsSchema),
  speeds: z.array(workerSlowdownSchema),
});
export type Learned = z.infer<typeof learnedSchema>;
