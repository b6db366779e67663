/**
 * Schemas of what the threads of the peak measurement are given and tell.
 */
import { z } from 'zod';
import { settingsSchema } from '../../src/config/settings.js';

export const endpointsOrderSchema = z.object({ count: z.number(), runTimeMs: z.number() });
export type EndpointsOrder = z.infer<typeof endpointsOrderSchema>;

export const endpointsReadySchema = z.object({ addresses: z.array(z.string()) });
export type EndpointsReady = z.infer<typeof endpointsReadySchema>;

export const daemonOrderSchema = z.object({ settings: settingsSchema });
export type DaemonOrder = z.infer<typeof daemonOrderSchema>;

export const daemonReadySchema = z.object({
  callersAddress: z.string(),
  peersAddress: z.string(),
});
export type DaemonReady = z.infer<typeof daemonReadySchema>;

export const usageSchema = z.object({ cpuMs: z.number(), heapMb: z.number() });
export type Usage = z.infer<typeof usageSchema>;

export const bareLoopOrderSchema = z.object({
  addresses: z.array(z.string()),
  connectionsPerEndpoint: z.number(),
  durationMs: z.number(),
});
export type BareLoopOrder = z.infer<typeof bareLoopOrderSchema>;

/** Task starts that one thread carried. */
export const carriedSchema = z.object({
  starts: z.number(),
  elapsedMs: z.number(),
  cpuMs: z.number(),
});
export type Carried = z.infer<typeof carriedSchema>;
