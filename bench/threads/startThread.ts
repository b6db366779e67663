/**
 * Starts a TypeScript module as a worker thread.
 */
import { Worker } from 'node:worker_threads';

/**
 * Starts a thread. `tsx` does not reach into threads by itself, so that it is registered there.
 *
 * @param moduleUrl - address of the module that the thread runs
 * @param workerData - what the thread is given
 */
export const startThread = (moduleUrl: URL, workerData: unknown): Worker => {
  const start = `import('tsx/esm/api').then(({ register }) => {
    register();
    return import(${JSON.stringify(moduleUrl.href)});
  })`;
  return new Worker(start, { eval: true, workerData });
};
