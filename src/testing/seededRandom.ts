/**
 * Reproducible random numbers and ids from a seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from '../ports/random.js';

const minIdLength = 16;

export class SeededRandom implements Random {
  private readonly generator;
  private idCount = 0;

  private constructor(private readonly seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  static create(seed: number): SeededRandom {
    return new SeededRandom(seed);
  }

  next(): number {
    return uniformFloat64(this.generator);
  }

  /** @returns the seed and a counter in base 36, padded with zeros; unique for each seed */
  id(): string {
    this.idCount += 1;
    return `${this.seed.toString(36)}x${this.idCount.toString(36)}`.padStart(minIdLength, '0');
  }
}
