/**
 * A machine is added while a job runs. The client then cancels the job; its new connection is forwarded to
 * the added machine.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { cancel, createJobId, isStatus, submitOnce } from '../harness/client.js';
import type { Job } from '../harness/client.js';
import { Deployment } from '../harness/deployment.js';
import { hasTrouble, runScript } from '../harness/main.js';
import { describeRun } from '../harness/run.js';

const cpu = 14_000;
const memMb = 64;
const stepMs = 2_000;
const stepCount = 5;
const deadlineMs = 15_000;
/** Bound on starts after the acknowledgement of a cancellation (`cancel_ms`). */
const cancelBoundMs = 3_000;
/** Time from the submission to the cancellation where no machine is added. */
const cancelDelayMs = 2_000;
const readyPollMs = 100;
const maxReadyPolls = 50;

const createJob = (): Job => ({
  id: createJobId(),
  spec: { runMs: stepMs, cpu },
  steps: Array.from({ length: stepCount }, (_, index) => ({
    count: 2,
    cpu,
    memMb,
    estimatedMs: stepMs,
    ...(index === 0 ? {} : { after: [index - 1] }),
  })),
  deadlineMs,
});

void runScript(5, async (record) => {
  const deployment = await Deployment.create({
    record,
    daemons: ['muenchen'],
    workers: Array<string>(6).fill('muenchen a'),
    workerCpu: 32_000,
    routeTimeoutMs: 20_000,
  });
  const job = createJob();
  const [daemon] = deployment.daemons;
  if (daemon === undefined) {
    throw new Error('A daemon is needed.');
  }
  const submitted = submitOnce(record, daemon, job);
  let target = daemon;
  if (hasTrouble) {
    target = await deployment.addDaemon('muenchen');
    record.write(`trouble: ${target.name} is added`);
    for (let polls = 0; !(await target.isReady()); polls += 1) {
      if (polls === maxReadyPolls) {
        throw new Error('The added daemon is not ready in time.');
      }
      await sleep(readyPollMs);
    }
    record.write(`platform: ${target.name} is ready, and takes new connections`);
  } else {
    await sleep(cancelDelayMs);
  }
  const answer = await cancel(record, target, job.id);
  if (!isStatus(answer, 200) && !isStatus(answer, 410)) {
    throw new Error('The cancellation was not acknowledged.');
  }
  const acknowledgedAtMs = record.nowMs();
  await submitted;
  await sleep(stepMs);
  const late = deployment.runs.filter(
    ({ startedAtMs }) => startedAtMs > acknowledgedAtMs + cancelBoundMs,
  );
  late.forEach((run) => record.write(`started after the cancellation: ${describeRun(run)}`));
  await deployment.close();
  return {
    isBroken: late.length > 0,
    detail: `${late.length} tasks started over ${cancelBoundMs} ms after the cancellation`,
  };
});
