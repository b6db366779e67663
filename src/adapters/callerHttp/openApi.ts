/**
 * The OpenAPI description of the callers' interface, derived from the schemas.
 */
import { z } from 'zod';
import { errorAnswers, errorKindSchema } from '../../errors/errorKinds.js';
import type { ErrorKind } from '../../errors/errorKinds.js';
import { problemBodySchema } from '../http/problemBody.js';
import { jobAnswerSchema, submissionSchema } from '../../types/jobs.js';
import { maxKeyLength } from '../../submissions/submissionKey.js';

const completeAnswerSchema = jobAnswerSchema.options[0];
const runningSchema = z.object({ state: z.literal('running') });
const ownerSchema = z.object({ owner: z.string() });

/** The named component schemas of the document. */
const namedSchemas = {
  Submission: submissionSchema,
  CompleteAnswer: completeAnswerSchema,
  Running: runningSchema,
  Owner: ownerSchema,
  Problem: problemBodySchema,
} as const;

type SchemaName = keyof typeof namedSchemas;

const toJsonSchema = (schema: z.ZodType) => z.toJSONSchema(schema, { io: 'input' });

/** References one named schema, or the alternative of several. */
const referenceSchemas = (...names: SchemaName[]) => {
  const references = names.map((name) => ({ $ref: `#/components/schemas/${name}` }));
  return references.length === 1 ? references[0] : { oneOf: references };
};

const describeJsonResponse = (description: string, ...names: SchemaName[]) => ({
  description,
  content: { 'application/json': { schema: referenceSchemas(...names) } },
});

const keyHeader = {
  name: 'Idempotency-Key',
  in: 'header',
  required: true,
  schema: { type: 'string', maxLength: maxKeyLength },
  description: 'OWNER~SUFFIX with an OWNER from GET /v1/owner, or a plain key of your own.',
};

const keyPathParameter = { name: 'key', in: 'path', required: true, schema: { type: 'string' } };

const waitQuery = {
  name: 'waitMs',
  in: 'query',
  required: false,
  schema: { type: 'number' },
  description: 'Time to wait for the answer, in milliseconds.',
};

const preferHeader = {
  name: 'Prefer',
  in: 'header',
  required: false,
  schema: { type: 'string', enum: ['respond-async'] },
};

/** Error responses that every operation may return, one for each HTTP status of the error kinds. */
const describeProblems = (): Record<string, unknown> => {
  const kindsByStatus = new Map<number, ErrorKind[]>();
  for (const kind of errorKindSchema.options) {
    const { httpStatus } = errorAnswers[kind];
    kindsByStatus.set(httpStatus, [...(kindsByStatus.get(httpStatus) ?? []), kind]);
  }
  return Object.fromEntries(
    [...kindsByStatus].map(([status, kinds]) => [
      status,
      {
        description: `Problem of kind ${kinds.join(', ')}.`,
        content: { 'application/problem+json': { schema: referenceSchemas('Problem') } },
      },
    ]),
  );
};

/**
 * Builds the description of the callers' interface.
 *
 * @returns an OpenAPI 3.1 document
 */
export const describeCallerInterface = () => {
  const problems = describeProblems();
  const submission = {
    required: true,
    content: { 'application/json': { schema: referenceSchemas('Submission') } },
  };
  const completeAnswer = describeJsonResponse('The whole answer.', 'CompleteAnswer');
  const running = describeJsonResponse('The job still runs.', 'Running');
  return {
    openapi: '3.1.0',
    info: { title: 'toucandyke', version: '1' },
    security: [{ bearer: [] }],
    components: {
      securitySchemes: { bearer: { type: 'http', scheme: 'bearer' } },
      schemas: Object.fromEntries(
        Object.entries(namedSchemas).map(([name, schema]) => [name, toJsonSchema(schema)]),
      ),
    },
    paths: {
      '/v1/jobs': {
        post: {
          summary: 'Submits a job and waits for its answer.',
          parameters: [keyHeader, preferHeader],
          requestBody: submission,
          responses: { 200: completeAnswer, 202: running, ...problems },
        },
      },
      '/v1/jobs/{key}': {
        get: {
          summary: 'Tells what is known of a job.',
          parameters: [keyPathParameter, waitQuery],
          responses: {
            200: describeJsonResponse(
              'The answer, or that the job runs.',
              'CompleteAnswer',
              'Running',
            ),
            ...problems,
          },
        },
        delete: {
          summary: 'Cancels a job.',
          parameters: [keyPathParameter],
          responses: { 200: completeAnswer, ...problems },
        },
      },
      '/v1/lookups': {
        post: {
          summary: 'Runs repeatable operations, without a key.',
          requestBody: submission,
          responses: { 200: completeAnswer, ...problems },
        },
      },
      '/v1/owner': {
        get: {
          summary: 'Gives the owner part for new keys.',
          responses: { 200: describeJsonResponse('The owner.', 'Owner'), ...problems },
        },
      },
    },
  };
};
