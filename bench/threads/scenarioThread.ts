/**
 * Thread that runs one scenario after the other, as it is asked.
 */
import { parentPort } from 'node:worker_threads';
import { runRequestSchema } from '../measures.js';
import { runScenario } from '../runScenario.js';

parentPort?.on('message', (message: unknown) => {
  void runScenario(runRequestSchema.parse(message)).then((run) => parentPort?.postMessage(run));
});
