/**
 * Limits on what clients make a daemon hold in memory, each for the whole process: the schema of the settings, and the
 * defaults.
 */
import { z } from 'zod';

/** Memory of the smallest VM, which counts where the settings state none. */
const defaultMemoryMb = 210;
/**
 * Default parts of the memory. 3,000 clients with one ordinary request each (a body of about 1 KB) stay below each of
 * them in 210 MB; all three together leave 120 MB for the program and its connections.
 */
const unfinishedBodyPart = 1 / 8;
const openRequestPart = 1 / 5;
const unreadResponsePart = 1 / 12;
/** Smallest limits, with which a request with the largest body of 262,144 bytes is still served. */
const minUnfinishedBodyBytes = 524_288;
const minOpenRequestBytes = 1_048_576;
const minUnreadResponseBytes = 65_536;
const bytesPerMb = 1_048_576;

const bytesFrom = (min: number) => z.number().int().min(min);

export const clientLimitsSchema = z.object({
  /** Open connections; further ones are dropped when they are accepted. */
  connections: z.number().int().positive().default(3_000),
  /**
   * Requests on one connection whose responses are not yet sent, or that were read in one turn of the event loop; one more
   * closes the connection. Clients send one at a time, which leaves room for a few that were sent early.
   */
  requestsPerConnection: z.number().int().positive().default(8),
  /**
   * Chunks of bodies in a second, beyond the first 512 of each body; a body with one more is refused. A body of 32 KB may come
   * byte by byte.
   */
  bodyChunksPerS: z.number().int().positive().default(32_768),
  /** Requests whose body has not ended, with the bytes that have come. */
  unfinishedBodyBytes: bytesFrom(minUnfinishedBodyBytes),
  /** Requests that are being served, with their jobs. */
  openRequestBytes: bytesFrom(minOpenRequestBytes),
  /** Responses that the connection has not taken yet. */
  unreadResponseBytes: bytesFrom(minUnreadResponseBytes),
});
export type ClientLimits = z.infer<typeof clientLimitsSchema>;

/** The table of the settings file, in which each limit may be left out. */
export const clientLimitsTableSchema = clientLimitsSchema.partial();
export type ClientLimitsTable = z.infer<typeof clientLimitsTableSchema>;

/**
 * Fills in the limits that the settings leave out.
 *
 * @param table - the limits that the settings state
 * @param memoryMb - memory of the VM
 */
export const completeClientLimits = (
  table: ClientLimitsTable = {},
  memoryMb = defaultMemoryMb,
): ClientLimits => {
  const part = (share: number, min: number): number =>
    Math.max(Math.floor(memoryMb * bytesPerMb * share), min);
  return clientLimitsSchema.parse({
    unfinishedBodyBytes: part(unfinishedBodyPart, minUnfinishedBodyBytes),
    openRequestBytes: part(openRequestPart, minOpenRequestBytes),
    unreadResponseBytes: part(unreadResponsePart, minUnreadResponseBytes),
    ...table,
  });
};
