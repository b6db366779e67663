/**
 * Schema of a network address as the store, the settings and other daemons state it. A name of the right
 * form may still be no address: connecting to it would throw.
 */
import { z } from 'zod';

const octet = '(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)';
const port = '(?:6553[0-5]|655[0-2]\\d|65[0-4]\\d\\d|6[0-4]\\d{3}|[1-5]\\d{4}|[1-9]\\d{0,3})';
/** One pattern, since every heartbeat carries the addresses of many members. */
const ipPortPattern = new RegExp(`^${octet}(?:\\.${octet}){3}:${port}$`);

/** An IPv4 address and a port from 1 to 65,535, such as `10.0.0.7:7000`. */
export const ipPortSchema = z.string().regex(ipPortPattern, 'expected an IP number and a port');
