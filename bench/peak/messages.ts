/**
 * Schemas of the data that the threads of `peakStarts.ts` and `slopes.ts` start with, and of the messages
 * that they post.
 */
import { z } from 'zod';
import { settingsSchema } from '../../src/config/settings.js';

/** Number of endpoints and the run time of their tasks. */
export const endpointsThreadDataSchema = z.object({ count: z.number(), runTimeMs: z.number() });
export type EndpointsThreadData = z.infer<typeof endpointsThreadDataSchema>;

/** Addresses of the endpoints, posted when all listen. */
export const endpointsReadySchema = z.object({ addresses: z.array(z.string()) });
export type EndpointsReady = z.infer<typeof endpointsReadySchema>;

export const daemonThreadDataSchema = z.object({ settings: settingsSchema });
export type DaemonThreadData = z.infer<typeof daemonThreadDataSchema>;

/** Addresses of the daemon, posted when it has started. */
export const daemonReadySchema = z.object({
  callersAddress: z.string(),
  peersAddress: z.string(),
});
export type DaemonReady = z.infer<typeof daemonReadySchema>;

/** Processor time of a thread since its start, and its heap. */
export const usageSchema = z.object({ cpuMs: z.number(), heapMb: z.number() });
export type Usage = z.infer<typeof usageSchema>;

/** Endpoints that the bare loop sends to, and its duration. */
export const bareLoopThreadDataSchema = z.object({
  addresses: z.array(z.string()),
  connectionsPerEndpoint: z.number(),
  durationMs: z.number(),
});
export type BareLoopThreadData = z.infer<typeof bareLoopThreadDataSchema>;

/** Task starts of one thread, with the elapsed time and the processor time of that thread. */
export const throughputSchema = z.object({
  starts: z.number(),
  elapsedMs: z.number(),
  cpuMs: z.number(),
});
export type Throughput = z.infer<typeof throughputSchema>;
