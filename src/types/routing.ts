/**
 * Schemas of the routing configuration: the service that requests go to, and the time objective of
 * their jobs.
 */
import { z } from 'zod';

export const routeSchema = z.object({
  routeId: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  serviceId: z.string(),
  /** Priority of the route's jobs, lower numbers first; not read by the dispatcher. */
  priority: z.number().int(),
  /** Failed runs of one task after which its job has failed. */
  maxFailedRuns: z.number().int().positive(),
  /** Longest time that a request may take, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** The objective of a job is this factor times its critical path ... */
  objectiveStretch: z.number().positive(),
  /** ... plus this time, in milliseconds. */
  objectiveSlackMs: z.number().nonnegative(),
});
export type Route = z.infer<typeof routeSchema>;

export const serviceSchema = z.object({
  serviceId: z.string(),
  /** Whether its workers refuse a run that exceeds their free capacity; not read by the daemon. */
  guardsCapacity: z.boolean(),
});
export type Service = z.infer<typeof serviceSchema>;

export const routingSchema = z.object({
  /** Increases with every version, by steps of any size. */
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  maxBodyBytes: z.number().int().positive(),
});
export type Routing = z.infer<typeof routingSchema>;
