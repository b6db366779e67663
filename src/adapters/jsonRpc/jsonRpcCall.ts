/**
 * Schemas of a JSON-RPC 2.0 request and its response, and validation of its parameters.
 */
import { JSONRPCErrorException } from 'json-rpc-2.0';
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
 * Validates the parameters of a call.
 *
 * @param schema - schema of the parameters
 * @param params - the parameters as received
 * @returns the validated parameters
 * @throws JSONRPCErrorException with code -32602 (invalid params)
 */
export const checkParams = <S extends z.ZodType>(schema: S, params: unknown): z.output<S> => {
  const parsed = schema.safeParse(params);
  if (!parsed.success) {
    const { detail, where } = problemFromZod(parsed.error);
    throw new JSONRPCErrorException(`${where ?? 'params'}: ${detail}`, invalidParamsCode);
  }
  return parsed.data;
};
