/**
 * Optional fields whose content must not cause the whole message to be rejected: a value of another form is read as
 * `invalid`, and its reader ignores and logs it.
 */
import { z } from 'zod';

const invalidSchema = z.unknown().transform(() => ({ kind: 'invalid' as const }));
export type InvalidField = z.infer<typeof invalidSchema>;

/** A value of the schema, or a mark in place of any other one. */
export const validOrMarked = <S extends z.ZodType>(schema: S) => z.union([schema, invalidSchema]);

/** An optional field that earlier versions omit, read leniently. */
export const tolerantField = <S extends z.ZodType>(schema: S) => validOrMarked(schema).optional();

/** Whether a field was given in another form than its schema's. */
export const isInvalidField = (value: unknown): value is InvalidField =>
  typeof value === 'object' && value !== null && 'kind' in value && value.kind === 'invalid';
