/**
 * Learns how long the tasks of each route run, from what callers say of their jobs.
 *
 * Callers give a declared run time, which is often far off, and a deadline, which on many routes says
 * more. The prediction is linear in both; recent jobs weigh most.
 */

/** What a caller says of a job. */
export interface LengthHints {
  readonly declaredMs: number;
  readonly deadlineMs: number;
}

/** Weight that the observations before one keep. */
const memory = 0.995;
/** Relative errors of observations, which the weight of the declared time is set against. */
const priorWeight = 4;
const msPerUnit = 1_000;
/** A prediction stays within this factor of the declared time. */
const maxCorrection = 6;
const minLengthMs = 1;
const featureCount = 3;
/** Observations after which a prediction is computed anew. */
const refitEvery = 4;

/** Sums of the weighted least squares of one route. */
interface RouteSums {
  readonly products: number[][];
  readonly targets: number[];
  coefficients: readonly number[];
  observations: number;
}

export class RunLengths {
  private readonly routes = new Map<string, RouteSums>();

  private constructor() {
    // Built by create.
  }

  static create(): RunLengths {
    return new RunLengths();
  }

  /**
   * Predicts the run time of a task on a typical worker, in milliseconds.
   *
   * @param routeId - where the job came in
   * @param hints - what its caller says
   */
  predictMs(routeId: string, hints: LengthHints): number {
    const known = this.routes.get(routeId);
    if (known === undefined) {
      return Math.max(hints.declaredMs, minLengthMs);
    }
    const features = featuresOf(hints);
    const units = features.reduce(
      (sum, feature, index) => sum + feature * (known.coefficients[index] ?? 0),
      0,
    );
    const lowMs = Math.max(hints.declaredMs / maxCorrection, minLengthMs);
    return Math.min(Math.max(units * msPerUnit, lowMs), hints.declaredMs * maxCorrection);
  }

  /**
   * Notes a task that was done.
   *
   * @param routeId - where its job came in
   * @param hints - what its caller said
   * @param lengthMs - its run time over the slowness of its worker, in milliseconds
   */
  observe(routeId: string, hints: LengthHints, lengthMs: number): void {
    const sums = this.routes.get(routeId) ?? createSums();
    this.routes.set(routeId, sums);
    const target = Math.max(lengthMs, minLengthMs) / msPerUnit;
    const features = featuresOf(hints);
    const weight = 1 / target ** 2;
    for (let row = 0; row < featureCount; row += 1) {
      for (let column = 0; column < featureCount; column += 1) {
        const product = weight * (features[row] ?? 0) * (features[column] ?? 0);
        const line = sums.products[row] ?? [];
        line[column] = (line[column] ?? 0) * memory + product;
      }
      sums.targets[row] =
        (sums.targets[row] ?? 0) * memory + weight * (features[row] ?? 0) * target;
    }
    sums.observations += 1;
    if (sums.observations % refitEvery === 0) {
      sums.coefficients = fit(sums);
    }
  }
}

const featuresOf = ({ declaredMs, deadlineMs }: LengthHints): readonly number[] => [
  1,
  declaredMs / msPerUnit,
  deadlineMs / msPerUnit,
];

/** Without observations, the declared time is believed. */
const declaredOnly: readonly number[] = [0, 1, 0];

const createSums = (): RouteSums => ({
  products: Array.from({ length: featureCount }, () => new Array<number>(featureCount).fill(0)),
  targets: new Array<number>(featureCount).fill(0),
  coefficients: declaredOnly,
  observations: 0,
});

/** Solves the least squares, drawn towards the declared time while observations are few. */
const fit = ({ products, targets }: RouteSums): readonly number[] => {
  const rows = products.map((line, row) => {
    const own = [...line, targets[row] ?? 0];
    own[row] = (own[row] ?? 0) + priorWeight;
    own[featureCount] = (own[featureCount] ?? 0) + priorWeight * (declaredOnly[row] ?? 0);
    return own;
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
