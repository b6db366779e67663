/**
 * Thread that runs a scenario for each request that is posted to it, and posts the measures.
 */
import { parentPort } from 'node:worker_threads';
import { runRequestSchema } from '../measures.js';
import { runScenario } from '../runScenario.js';

parentPort?.on('message', (message: unknown) => {
  void runScenario(runRequestSchema.parse(message)).then((run) => parentPort?.postMessage(run));
});
