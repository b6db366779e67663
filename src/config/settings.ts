/**
 * Schema of a daemon's settings: who it is, where it listens, where the platform is.
 */
import { z } from 'zod';
import { nameSchema } from '../types/inventory.js';

const addressSchema = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an IP number and a port');

const tokenSchema = z
  .string()
  .min(16, 'expected at least 16 characters')
  .max(256)
  .regex(/^[\x21-\x7e]+$/, 'expected printable ASCII without spaces');

export const logLevelSchema = z.enum(['debug', 'info', 'warn', 'error', 'off']);
export type LogLevel = z.infer<typeof logLevelSchema>;

export const settingsSchema = z.strictObject({
  vmId: nameSchema,
  failureDomainId: nameSchema,
  /** Relative size of the VM. */
  weight: z.number().positive().default(1),
  listen: z.strictObject({
    callers: addressSchema,
    operators: addressSchema,
    peers: addressSchema,
  }),
  platform: z.strictObject({ logService: addressSchema, vmList: addressSchema }),
  tokens: z.strictObject({ peers: tokenSchema, operators: tokenSchema }),
  /** Time between failing readiness and refusing connections at a planned stop. */
  drainGraceMs: z.number().int().nonnegative().max(600_000).default(2_000),
  logLevel: logLevelSchema.default('info'),
  /** Where StatsD metrics go; none are sent without it. */
  metrics: addressSchema.optional(),
});
export type Settings = z.infer<typeof settingsSchema>;

/** An address split into its parts. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits a checked address.
 *
 * @param address - IP number and port
 * @returns both parts
 */
export const splitAddress = (address: string): HostPort => {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
};
