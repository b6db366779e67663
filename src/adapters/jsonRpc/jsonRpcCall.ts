/**
 * Schemas of a JSON-RPC 2.0 request and its response, and validation of its parameters.
 */
import { JSONRPCErrorException } from 'json-rpc-2.0';
import type { JSONRPCServer } from 'json-rpc-2.0';
import { z } from 'zod';
import { problemFromZod } from '../../errors/zodProblem.js';

const invalidParamsCode = -32602;

/** A single JSON-RPC request; daemons send no batches and no notifications. */
export const callSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.union([z.string().max(64), z.number()]),
  method: z.string().max(64),
  params: z.unknown().optional(),
});

/** A single JSON-RPC response. */
export const responseSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.union([z.string().max(64), z.number()]),
  result: z.unknown().optional(),
  error: z
    .object({ code: z.number(), message: z.string(), data: z.unknown().optional() })
    .optional(),
});

/**
 * Registers a method; a call whose parameters are not valid is answered with an error and not handled.
 *
 * @param rpc - the server
 * @param name - name of the method
 * @param schema - schema of its parameters
 * @param handle - returns the result, or a promise of it
 */
export const addCheckedMethod = <S extends z.ZodType>(
  rpc: JSONRPCServer,
  name: string,
  schema: S,
  handle: (params: z.output<S>) => unknown,
): void => {
  rpc.addMethod(name, (params: unknown) => handle(checkParams(schema, params)));
};

/**
 * Validates the parameters of a call.
 *
 * @throws JSONRPCErrorException with code -32602 (invalid params)
 */
const checkParams = <S extends z.ZodType>(schema: S, params: unknown): z.output<S> => {
  const parsed = schema.safeParse(params);
  if (!parsed.success) {
    const { detail, where } = problemFromZod(parsed.error);
    throw new JSONRPCErrorException(`${where ?? 'params'}: ${detail}`, invalidParamsCode);
  }
  return parsed.data;
};
