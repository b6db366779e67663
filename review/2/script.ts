/**
 * A machine is stopped as planned while it dispatches long tasks of a job that another machine accepted.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createJobId, submit } from '../harness/client.js';
import { Deployment } from '../harness/deployment.js';
import { hasTrouble, runScript } from '../harness/main.js';
import { judgeOverlaps } from '../harness/overlapVerdict.js';

const rounds = 4;
const cpu = 14_000;
const memMb = 64;
const taskMs = 7_000;
const deadlineMs = 20_000;
const slotsPerWorker = 2;
/** Tasks for which the machine that accepts the job has no free slot. */
const spilledTasks = 4;
/** Time from the submission to the stop. */
const stopDelayMs = 500;
/** Time from the end of the process to its restart. */
const downMs = 1_000;
const settleMs = 4_000;

void runScript(2, async (record) => {
  const deployment = await Deployment.create({
    record,
    daemons: ['muenchen', 'muenchen', 'nuernberg'],
    workers: [...Array<string>(10).fill('muenchen a'), ...Array<string>(8).fill('nuernberg a')],
    workerCpu: 32_000,
    routeTimeoutMs: 30_000,
  });
  for (let round = 0; round < rounds; round += 1) {
    const requester = deployment.daemon(round % 2);
    const stopped = deployment.daemon((round + 1) % 2);
    const ownSlots = deployment.workersServedBy(requester, 'a').length * slotsPerWorker;
    const job = submit(record, [requester], {
      id: createJobId(),
      spec: { runMs: taskMs, cpu },
      steps: [{ count: ownSlots + spilledTasks, cpu, memMb, estimatedMs: taskMs }],
      deadlineMs,
    });
    await sleep(stopDelayMs);
    if (hasTrouble) {
      record.write(`trouble: ${stopped.name} gets SIGTERM`);
      await stopped.stop();
      record.write(`trouble: ${stopped.name} has ended`);
      await sleep(downMs);
      stopped.start();
    }
    await job;
    await sleep(settleMs);
  }
  const verdict = judgeOverlaps(record, deployment.runs);
  await deployment.close();
  return verdict;
});
