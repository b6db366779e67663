/**
 * Schemas of the inventory that operators publish: failure domains, racks, workers, endpoints,
 * operations, callers.
 */
import { z } from 'zod';

/** An identifier that operators choose. */
export const nameSchema = z
  .string()
  .min(1)
  .max(64)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'expected letters, digits, dot, underscore or hyphen');

export const callerClassSchema = z.enum(['paying', 'trial']);
export type CallerClass = z.infer<typeof callerClassSchema>;

export const failureDomainSchema = z.strictObject({
  failureDomainId: nameSchema,
  region: nameSchema,
});
export type FailureDomain = z.infer<typeof failureDomainSchema>;

export const rackSchema = z.strictObject({ rackId: nameSchema, failureDomainId: nameSchema });
export type Rack = z.infer<typeof rackSchema>;

export const workerSchema = z.strictObject({
  workerId: nameSchema,
  rackId: nameSchema,
  cores: z.number().int().positive().max(4096),
  memoryMb: z.number().int().positive(),
  accelerators: z.number().int().nonnegative().max(64),
  /** Tasks that the worker runs at the same time. */
  slots: z.number().int().positive().max(1024),
  /** Connections that the worker accepts at the same time; not read by the daemon. */
  connections: z.number().int().positive().max(65_536),
  /** Whether the worker itself refuses work beyond its slots and connections; not read by the daemon. */
  guards: z.boolean(),
});
export type Worker = z.infer<typeof workerSchema>;

export const endpointStateSchema = z.enum(['active', 'leaving']);

export const endpointSchema = z.strictObject({
  endpointId: nameSchema,
  workerId: nameSchema,
  /** IP number and port, such as `10.0.0.7:8080`. */
  address: z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an IP number and a port'),
  operationIds: z.array(nameSchema).min(1),
  state: endpointStateSchema.default('active'),
});
export type Endpoint = z.infer<typeof endpointSchema>;

/** `once`: a task runs at most once. `repeatable`: a lookup without side effects. */
export const operationKindSchema = z.enum(['once', 'repeatable']);
export type OperationKind = z.infer<typeof operationKindSchema>;

export const operationSchema = z.strictObject({
  operationId: nameSchema,
  kind: operationKindSchema,
  declaredRunTimeMs: z.number().positive().max(600_000),
  maxInputBytes: z.number().int().positive().max(1_048_576),
  cores: z.number().int().positive().default(1),
  memoryMb: z.number().int().positive().default(1),
  accelerators: z.number().int().nonnegative().default(0),
});
export type Operation = z.infer<typeof operationSchema>;

export const callerSchema = z.strictObject({
  callerId: nameSchema,
  teamId: nameSchema,
  class: callerClassSchema,
  /** SHA-256 of the bearer token, in lower-case hexadecimal. */
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits'),
});
export type Caller = z.infer<typeof callerSchema>;

export const inventorySchema = z.strictObject({
  failureDomains: z.array(failureDomainSchema).min(1).max(64),
  racks: z.array(rackSchema).min(1).max(4096),
  workers: z.array(workerSchema).min(1).max(4096),
  endpoints: z.array(endpointSchema).min(1).max(4096),
  operations: z.array(operationSchema).min(1).max(1024),
  callers: z.array(callerSchema).min(1).max(65_536),
});
export type Inventory = z.infer<typeof inventorySchema>;
