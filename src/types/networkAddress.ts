/**
 * Schema of the network addresses that others send: an IPv4 address and a port.
 */
import { z } from 'zod';

const maxOctet = 255;
const maxPort = 65_535;
/** Without leading zeros, which some readers take for octal. */
const octetPattern = /^(0|[1-9]\d{0,2})$/;
const portPattern = /^[1-9]\d{0,4}$/;
const octetCount = 4;

/** Whether a text is an IPv4 address and a port, such as `10.0.0.1:8080`. */
export const isIpPort = (text: string): boolean => {
  const [host = '', port = '', ...rest] = text.split(':');
  return rest.length === 0 && isIpv4(host) && portPattern.test(port) && Number(port) <= maxPort;
};

export const ipPortSchema = z.string().refine(isIpPort, 'not an IPv4 address and port');

const isIpv4 = (text: string): boolean => {
  const octets = text.split('.');
  return (
    octets.length === octetCount &&
    octets.every((octet) => octetPattern.test(octet) && Number(octet) <= maxOctet)
  );
};
