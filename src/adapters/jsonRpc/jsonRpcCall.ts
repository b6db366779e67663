/**
 * Shape of a JSON-RPC call and the check of its parameters.
 */
import { JSONRPCErrorException } from 'json-rpc-2.0';
import { z } from 'zod';
import { problemFromZod } from '../../errors/zodProblem.js';

const invalidParamsCode = -32602;

/** One JSON-RPC call; daemons send no batches and no notifications. */
export const callSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.union([z.string().max(64), z.number()]),
  method: z.string().max(64),
  params: z.unknown().optional(),
});

/**
 * Checks the parameters of a call.
 *
 * @param schema - what they must be
 * @param params - what was sent
 * @returns the checked parameters; throws the JSON-RPC error for others
 */
export const checkParams = <S extends z.ZodType>(schema: S, params: unknown): z.output<S> => {
  const parsed = schema.safeParse(params);
  if (!parsed.success) {
    const { detail, where } = problemFromZod(parsed.error);
    throw new JSONRPCErrorException(`${where ?? 'params'}: ${detail}`, invalidParamsCode);
  }
  return parsed.data;
};
