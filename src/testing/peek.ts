/**
 * Looks at a promise without waiting for it, so that a test fails rather than hangs.
 *
 * @param promise - the promise
 * @returns its value, or nothing if it has none yet
 */
export const peek = <T>(promise: Promise<T>): Promise<T | undefined> =>
  Promise.race([promise, new Promise<undefined>((resolve) => setImmediate(resolve, undefined))]);
