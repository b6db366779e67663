/** A promise together with the function that resolves it. */
export interface Deferred<T> {
  readonly promise: Promise<T>;
  resolve(value: T): void;
}

/** Creates a promise that the caller resolves later. */
export const createDeferred = <T>(): Deferred<T> => {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>((resolvePromise) => {
    resolve = resolvePromise;
  });
  return { promise, resolve };
};
