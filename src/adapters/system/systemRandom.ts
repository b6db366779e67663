/**
 * Random numbers of Node.js, and identifiers from the random source of the operating system.
 */
import { randomBytes } from 'node:crypto';
import type { Random } from '../../ports/random.js';

const idBytes = 8;

export class SystemRandom implements Random {
  private constructor() {
    // Built by create.
  }

  static create(): SystemRandom {
    return new SystemRandom();
  }

  next(): number {
    return Math.random();
  }

  id(): string {
    return randomBytes(idBytes).toString('hex');
  }
}
