/**
 * Schemas of the HTTP and JSON messages of the platform's log service.
 */
import { z } from 'zod';

/** `POST /v1/streams/NAME/records`: appends records and returns the offset of the first. */
export const appendRequestSchema = z.object({ values: z.array(z.unknown()).min(1).max(1_024) });
export const appendReplySchema = z.object({ firstOffset: z.number().int().nonnegative() });

/** `GET /v1/streams/NAME/records?from=OFFSET&waitMs=TIME`: reads records, waiting for the first. */
export const readReplySchema = z.object({
  records: z.array(z.object({ offset: z.number().int().nonnegative(), value: z.unknown() })),
  oldestOffset: z.number().int().nonnegative(),
  endOffset: z.number().int().nonnegative(),
});
