/**
 * Composes entries of workers that name no worker to use.
 */
import { unreachable } from '../src/errors/unreachable.js';
import type { InvalidEntry } from './faults.js';

/** Depth of an entry that is nested too deep. */
const nestingDepth = 100_000;

/**
 * @param entry - what is not valid
 * @param soundEntry - the entry of a worker
 * @returns the same entry with one invalid field, or something else in its place
 */
export const composeInvalidEntry = (entry: InvalidEntry, soundEntry: Buffer): Buffer => {
  const fields = JSON.parse(soundEntry.toString('utf8')) as Record<string, unknown>;
  const compose = (changes: object): Buffer =>
    Buffer.from(JSON.stringify({ ...fields, ...changes }));
  switch (entry) {
    case 'port':
      return compose({ address: '127.0.0.1:99999' });
    case 'octet':
      return compose({ address: '127.0.0.999:8080' });
    case 'number':
      return Buffer.from(
        compose({ capacity: { cpu: 'huge', memMb: 1 } })
          .toString()
          .replace('"huge"', '1e400'),
      );
    case 'nesting': {
      const nested = '['.repeat(nestingDepth) + ']'.repeat(nestingDepth);
      return Buffer.from(compose({ labels: 'nested' }).toString().replace('"nested"', nested));
    }
    case 'without-born':
      return compose({ born: undefined });
    case 'other-service':
      return compose({ service: 7, state: 'sleeping' });
    case 'bytes':
      return Buffer.from([0xff, 0xfe, 0x00, 0x7b]);
    default:
      return unreachable(entry);
  }
};
