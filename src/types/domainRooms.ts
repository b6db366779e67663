/**
 * Schema of the free capacity of a service in a failure domain, as daemons of different domains tell each other.
 */
import { z } from 'zod';

/** Most cores of a domain, in thousandths; more is taken for a fault of the sender. */
const maxCpuMillis = 1e9;
const maxCoreMs = 1e15;
/** Most entries in a heartbeat. */
const maxRooms = 1_024;

export const domainRoomSchema = z
  .object({
    failureDomainId: z.string().max(256),
    serviceId: z.string().max(256),
    /** Cores that are free now on workers that accept tasks, in thousandths. */
    freeCpuMillis: z.number().int().nonnegative(),
    /** Cores of all workers that accept tasks, in thousandths. */
    capacityCpuMillis: z.number().int().nonnegative().max(maxCpuMillis),
    /** Waiting work of all priorities: cores times expected run time in milliseconds. */
    waitingCoreMs: z.number().nonnegative().max(maxCoreMs),
    /** Time from the sum to the sending of the message, in milliseconds. */
    ageMs: z.number().nonnegative(),
  })
  .refine(({ freeCpuMillis, capacityCpuMillis }) => freeCpuMillis <= capacityCpuMillis);
export type DomainRoom = z.infer<typeof domainRoomSchema>;

export const domainRoomsSchema = z.array(z.unknown()).max(maxRooms);
