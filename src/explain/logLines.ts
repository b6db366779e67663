/**
 * Parses the log lines of daemons, as operators collect them.
 */
import { z } from 'zod';
import { parseJson } from '../utils/parseJson.js';

const logLineSchema = z.object({
  message: z.string(),
  /** Wall-clock time of the VM, in milliseconds since the epoch. */
  time: z.number(),
  context: z.object({
    vmId: z.string(),
    jobId: z.string().optional(),
    routeId: z.string().optional(),
    batchId: z.string().optional(),
    taskName: z.string().optional(),
    run: z.number().optional(),
    workerId: z.string().optional(),
    nodeId: z.string().optional(),
    outcome: z.string().optional(),
    reason: z.string().optional(),
    durationMs: z.number().optional(),
    expectedMs: z.number().optional(),
    leftMs: z.number().optional(),
    ageMs: z.number().optional(),
    count: z.number().optional(),
  }),
});
/** The fields of a log line that explain a job. */
export type LogLine = z.infer<typeof logLineSchema>;

/**
 * Parses a log. A prefix that a log collector puts before the JSON of a line is ignored, and lines that
 * do not match the schema are skipped.
 *
 * @param text - the content of a log
 * @returns the valid lines, in the order of the log
 */
export const parseLog = (text: string): LogLine[] =>
  text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    const parsed = start < 0 ? undefined : logLineSchema.safeParse(parseJson(line.slice(start)));
    return parsed?.success === true ? [parsed.data] : [];
  });
