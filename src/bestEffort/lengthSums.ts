/**
 * Sums of weighted least squares of run times; sums of several daemons add up.
 */
import { featureCount } from '../types/learned.js';
import type { LengthSums } from '../types/learned.js';

/** @returns sums without observations */
export const emptySums = (routeId: string): LengthSums => ({
  routeId,
  observations: 0,
  products: new Array<number>(featureCount ** 2).fill(0),
  targets: new Array<number>(featureCount).fill(0),
});

/** Adds sums, with a weight, to others. */
export const addSums = (to: LengthSums, from: LengthSums, weight = 1): LengthSums => ({
  routeId: to.routeId,
  observations: to.observations + weight * from.observations,
  products: to.products.map((sum, index) => sum + weight * (from.products[index] ?? 0)),
  targets: to.targets.map((sum, index) => sum + weight * (from.targets[index] ?? 0)),
});

/**
 * Computes the sums of one observation.
 *
 * @param routeId - the route
 * @param features - what is known beforehand
 * @param target - what was observed
 * @param scale - size of the target as it was expected, relative to which errors count; the target
 *   itself would favour observations that came out small
 */
export const sumsOf = (
  routeId: string,
  features: readonly number[],
  target: number,
  scale: number,
): LengthSums => {
  const weight = 1 / scale ** 2;
  return {
    routeId,
    observations: 1,
    products: features.flatMap((a) => features.map((b) => weight * a * b)),
    targets: features.map((feature) => weight * feature * target),
  };
};

/**
 * Solves the least squares, drawn towards coefficients that hold without observations.
 *
 * @param sums - the sums
 * @param prior - coefficients without observations
 * @param priorWeight - weight of the prior
 */
export const solveSums = (
  { products, targets }: LengthSums,
  prior: readonly number[],
  priorWeight: number,
): readonly number[] => {
  const rows = targets.map((target, row) => {
    const line = products.slice(row * featureCount, (row + 1) * featureCount);
    line[row] = (line[row] ?? 0) + priorWeight;
    return [...line, target + priorWeight * (prior[row] ?? 0)];
  });
  return solve(rows);
};

/** Gaussian elimination; each row holds its coefficients and its right-hand side. */
const solve = (rows: number[][]): readonly number[] => {
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot += 1) {
    const pivotRow = rows[pivot] ?? [];
    for (let row = pivot + 1; row < size; row += 1) {
      const line = rows[row] ?? [];
      const factor = (line[pivot] ?? 0) / (pivotRow[pivot] ?? 1);
      for (let column = pivot; column <= size; column += 1) {
        line[column] = (line[column] ?? 0) - factor * (pivotRow[column] ?? 0);
      }
    }
  }
  const solution = new Array<number>(size).fill(0);
  for (let row = size - 1; row >= 0; row -= 1) {
    const line = rows[row] ?? [];
    let rest = line[size] ?? 0;
    for (let column = row + 1; column < size; column += 1) {
      rest -= (line[column] ?? 0) * (solution[column] ?? 0);
    }
    solution[row] = rest / (line[row] ?? 1);
  }
  return solution;
};
