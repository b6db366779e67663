/**
 * Weighted least squares for run times, computed from sums of products. Sums of several daemons can
 * be added, so that observations need not be sent.
 */
import { featureCount } from '../types/learned.js';
import type { LengthSums } from '../types/learned.js';

/** Largest sum that is used; beyond it, rounding errors would outweigh the other sums. */
const maxSum = 1e15;

/**
 * Whether sums can come from observations: features and run times are not negative, so that no sum of their
 * products is. Others, such as those of another writer, would spoil the predictions of every route.
 */
export const areUsableSums = ({ observations, products, targets }: LengthSums): boolean =>
  [observations, ...products, ...targets].every((sum) => sum >= 0 && sum <= maxSum);

/** @returns sums without observations */
export const emptySums = (routeId: string): LengthSums => ({
  routeId,
  observations: 0,
  products: new Array<number>(featureCount ** 2).fill(0),
  targets: new Array<number>(featureCount).fill(0),
});

/** @returns `to` plus `from` with a weight, under the route of `to` */
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
 * @param features - values from which the target is predicted
 * @param target - the observed value
 * @param scale - the predicted value; errors count relative to it. Relative to the observed value,
 *   the regression would favour observations that came out small.
 */
export const sumsOfObservation = (
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
 * Computes the coefficients with the least squared error, regularized towards a prior. The prior is the
 * result where the equations have no finite solution.
 *
 * @param sums - sums of the observations
 * @param prior - coefficients that result without observations
 * @param priorWeight - weight of the prior, added to the diagonal of the products
 * @returns one coefficient for each feature
 */
export const solveLeastSquares = (
  { products, targets }: LengthSums,
  prior: readonly number[],
  priorWeight: number,
): readonly number[] => {
  const rows = targets.map((target, row) => {
    const coefficients = products.slice(row * featureCount, (row + 1) * featureCount);
    coefficients[row] = (coefficients[row] ?? 0) + priorWeight;
    return [...coefficients, target + priorWeight * (prior[row] ?? 0)];
  });
  const solution = solveLinearSystem(rows);
  return solution.every((coefficient) => Number.isFinite(coefficient)) ? solution : prior;
};

/**
 * Solves linear equations by Gaussian elimination without row exchanges.
 *
 * @param rows - the coefficients of each equation, followed by its right-hand side; overwritten
 */
const solveLinearSystem = (rows: number[][]): readonly number[] => {
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot += 1) {
    const pivotRow = rows[pivot] ?? [];
    for (let row = pivot + 1; row < size; row += 1) {
      const equation = rows[row] ?? [];
      const factor = (equation[pivot] ?? 0) / (pivotRow[pivot] ?? 1);
      for (let column = pivot; column <= size; column += 1) {
        equation[column] = (equation[column] ?? 0) - factor * (pivotRow[column] ?? 0);
      }
    }
  }
  const solution = new Array<number>(size).fill(0);
  for (let row = size - 1; row >= 0; row -= 1) {
    const equation = rows[row] ?? [];
    let remainder = equation[size] ?? 0;
    for (let column = row + 1; column < size; column += 1) {
      remainder -= (equation[column] ?? 0) * (solution[column] ?? 0);
    }
    solution[row] = remainder / (equation[row] ?? 1);
  }
  return solution;
};
