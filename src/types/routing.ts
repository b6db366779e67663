/**
 * Schemas of the routing configuration: which requests go to which service, and with what objective.
 */
import { z } from 'zod';

export const routeSchema = z.object({
  routeId: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  serviceId: z.string(),
  /** Work of a lower number goes first. */
  priority: z.number().int(),
  /** Runs of one task that may fail before its job has failed. */
  maxFailedRuns: z.number().int().positive(),
  /** Longest time that a request may take, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** A job meets its objective within this many times its longest chain of work ... */
  objectiveStretch: z.number().positive(),
  /** ... and this much more, in milliseconds. */
  objectiveSlackMs: z.number().nonnegative(),
});
export type Route = z.infer<typeof routeSchema>;

export const serviceSchema = z.object({
  serviceId: z.string(),
  /** Whether its workers refuse what does not fit. */
  guardsCapacity: z.boolean(),
});
export type Service = z.infer<typeof serviceSchema>;

export const routingSchema = z.object({
  /** Versions rise, in uneven steps. */
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  maxBodyBytes: z.number().int().positive(),
});
export type Routing = z.infer<typeof routingSchema>;
