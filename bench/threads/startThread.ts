/**
 * Starts a TypeScript module as a worker thread.
 */
import { Worker } from 'node:worker_threads';

/**
 * Starts a thread. `tsx` is not registered in new threads, so the thread registers it before the import.
 *
 * @param moduleUrl - URL of the module that the thread runs
 * @param workerData - data that the module reads from `node:worker_threads`
 */
export const startThread = (moduleUrl: URL, workerData: unknown): Worker => {
  const bootstrap = `import('tsx/esm/api').then(({ register }) => {
    register();
    return import(${JSON.stringify(moduleUrl.href)});
  })`;
  return new Worker(bootstrap, { eval: true, workerData });
};
