/**
 * Log lines of daemons, as the operators keep them.
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
export type LogLine = z.infer<typeof logLineSchema>;

/**
 * Reads log lines; what a collector puts before the JSON of a line is passed over, and so are lines of
 * another shape.
 *
 * @param text - the content of a log
 */
export const parseLog = (text: string): LogLine[] =>
  text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    const parsed = start < 0 ? undefined : logLineSchema.safeParse(parseJson(line.slice(start)));
    return parsed?.success === true ? [parsed.data] : [];
  });
