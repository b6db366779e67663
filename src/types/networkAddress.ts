/**
 * Schema of a network address as the store, the settings and other daemons state it. A name of the right
 * form may still be no address: connecting to it would throw.
 */
import { z } from 'zod';

const maxPort = 65_535;
const ipSchema = z.ipv4();

const isIpPort = (text: string): boolean => {
  const [ip, port, ...rest] = text.split(':');
  return (
    ipSchema.safeParse(ip).success &&
    port !== undefined &&
    /^[1-9]\d{0,4}$/.test(port) &&
    Number(port) <= maxPort &&
    rest.length === 0
  );
};

/** An IPv4 address and a port from 1 to 65,535, such as `10.0.0.7:7000`. */
export const ipPortSchema = z.string().refine(isIpPort, 'expected an IP number and a port');
