/**
 * Reads the value of a promise without waiting for it to resolve, so that a test fails instead of
 * hanging.
 *
 * @param promise - the promise
 * @returns its value, or undefined if it has not resolved after one turn of the event loop
 */
export const peek = <T>(promise: Promise<T>): Promise<T | undefined> =>
  Promise.race([promise, new Promise<undefined>((resolve) => setImmediate(resolve, undefined))]);
