/**
 * Workers crash while they are idle and start again under their ids a second later. Jobs come right after.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createJobId, submit } from '../harness/client.js';
import { Deployment } from '../harness/deployment.js';
import { hasTrouble, runScript } from '../harness/main.js';
import { judgeOverlaps } from '../harness/overlapVerdict.js';

const rounds = 10;
/** Time for which a crashed worker is down. */
const downMs = 1_000;
/** Time from the return of a worker to the next job. */
const jobDelayMs = 200;
const roundPauseMs = 2_500;
const taskMs = 600;
/** More than half of a worker, so that each worker gets one task. */
const cpu = 20_000;

void runScript(4, async (record) => {
  const deployment = await Deployment.create({
    record,
    daemons: ['muenchen', 'muenchen'],
    workers: Array<string>(7).fill('muenchen a'),
    workerCpu: 32_000,
    routeTimeoutMs: 1_500,
  });
  for (let round = 0; round < rounds; round += 1) {
    const daemon = deployment.daemon(round % deployment.daemons.length);
    const served = deployment.workersServedBy(daemon, 'a');
    const worker = served[round % served.length];
    if (hasTrouble && worker !== undefined) {
      record.write(`trouble: worker ${worker.workerId} crashes with ${worker.runCount} runs`);
      await worker.crash();
      await sleep(downMs);
      await worker.start();
      record.write(`trouble: worker ${worker.workerId} has started again under its id`);
    } else {
      await sleep(downMs);
    }
    await sleep(jobDelayMs);
    // One worker of the daemon stays empty.
    const count = served.length - 1;
    await submit(record, [daemon], {
      id: createJobId(),
      spec: { runMs: taskMs, cpu },
      steps: [{ count, cpu, memMb: 64, estimatedMs: taskMs }],
      deadlineMs: 1_500,
    });
    await sleep(roundPauseMs);
  }
  const verdict = judgeOverlaps(record, deployment.runs);
  await deployment.close();
  return verdict;
});
