/**
 * Schema of a daemon's settings: its identity, the addresses that it listens on, and the addresses of
 * the platform's services.
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
  /** Relative size of the VM, by which work is shared out. */
  weight: z.number().positive().default(1),
  listen: z.strictObject({
    callers: addressSchema,
    operators: addressSchema,
    peers: addressSchema,
  }),
  platform: z.strictObject({ logService: addressSchema, vmList: addressSchema }),
  /** Shared secrets that peers and operators authenticate with. */
  tokens: z.strictObject({ peers: tokenSchema, operators: tokenSchema }),
  /** Time from reporting not ready to refusing connections in a planned shutdown. */
  drainGraceMs: z.number().int().nonnegative().max(600_000).default(2_000),
  logLevel: logLevelSchema.default('info'),
  /** Address of the StatsD server; without it no metrics are sent. */
  metrics: addressSchema.optional(),
});
export type Settings = z.infer<typeof settingsSchema>;

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address that has passed the schema.
 *
 * @param address - IP number and port, such as `10.0.0.7:8080`
 */
export const splitAddress = (address: string): HostPort => {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
};
