/**
 * Schema of what a daemon has learned of run times and of workers.
 */
import { z } from 'zod';
import { lengthSumsSchema } from '../bestEffort/lengthSums.js';
import { workerSlownessSchema } from '../workers/speedMemory.js';

export const learnedSchema = z.object({
  lengths: z.array(lengthSumsSchema),
  speeds: z.array(workerSlownessSchema),
});
export type Learned = z.infer<typeof learnedSchema>;
