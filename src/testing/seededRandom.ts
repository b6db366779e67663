/**
 * Random numbers from a seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from '../ports/random.js';

const idLength = 16;

export class SeededRandom implements Random {
  private readonly generator;
  private ids = 0;

  private constructor(private readonly seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  static create(seed: number): SeededRandom {
    return new SeededRandom(seed);
  }

  next(): number {
    return uniformFloat64(this.generator);
  }

  id(): string {
    this.ids += 1;
    return `${this.seed.toString(36)}x${this.ids.toString(36)}`.padStart(idLength, '0');
  }
}
