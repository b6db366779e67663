/** A promise together with the function that resolves it. */
export interface Deferred<T> {
  readonly promise: Promise<T>;
  resolve(value: T): void;
}

/**
 * Creates a promise that its owner resolves later.
 *
 * @returns the promise and its resolver
 */
export const createDeferred = <T>(): Deferred<T> => {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
};
