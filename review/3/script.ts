/**
 * The process that accepted a job is killed. Its client sends the job again 1.3 s later, to a process of
 * another zone, while other clients go on at the process beside the killed one.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createJobId, submit, submitOnce } from '../harness/client.js';
import type { Job } from '../harness/client.js';
import type { Daemon } from '../harness/daemon.js';
import { Deployment } from '../harness/deployment.js';
import { hasTrouble, runScript } from '../harness/main.js';
import { judgeOverlaps } from '../harness/overlapVerdict.js';
import type { Record } from '../harness/record.js';

const rounds = 6;
const cpu = 14_000;
const memMb = 64;
const deadlineMs = 1_500;
const slotsPerWorker = 2;
/** Time between two small jobs of the other clients, and for how long they come. */
const smallJobPeriodMs = 150;
const loadMs = 3_200;
/** Time from the first small job to the long job, and from that to the kill. */
const longJobDelayMs = 800;
const killDelayMs = 200;
/** Time after which the platform starts the process again. */
const restartDelayMs = 500;
/** Kills in a row, and time from a restart to the next kill: before the process answers. */
const kills = 4;
const nextKillMs = 150;
const settleMs = 4_000;

/** A small job for workers of kind `a`. */
const createSmallJob = (count: number): Job => ({
  id: createJobId(),
  spec: { runMs: 60, cpu },
  steps: [{ count, cpu, memMb, estimatedMs: 60, requirements: 'a' }],
  deadlineMs,
});

/** A job of long tasks, which take longer than estimated, for workers of kind `b`. */
const createLongJob = (count: number): Job => ({
  id: createJobId(),
  spec: { runMs: 2_200, cpu },
  steps: [{ count, cpu, memMb, estimatedMs: 1_300, requirements: 'b' }],
  deadlineMs,
});

const sendSmallJobs = async (record: Record, daemon: Daemon, count: number): Promise<void> => {
  const endMs = performance.now() + loadMs;
  const jobs: Promise<unknown>[] = [];
  while (performance.now() < endMs) {
    jobs.push(submitOnce(record, daemon, createSmallJob(count)));
    await sleep(smallJobPeriodMs);
  }
  await Promise.all(jobs);
};

void runScript(3, async (record) => {
  const deployment = await Deployment.create({
    record,
    daemons: ['muenchen', 'muenchen', 'nuernberg'],
    workers: [
      ...Array<string>(8).fill('muenchen a'),
      ...Array<string>(6).fill('muenchen b'),
      ...Array<string>(8).fill('nuernberg b'),
    ],
    workerCpu: 32_000,
    routeTimeoutMs: deadlineMs,
  });
  const [victim, beside] = deployment.daemonsByAddress('muenchen');
  const far = deployment.daemon(2);
  if (victim === undefined || beside === undefined) {
    throw new Error('Two daemons are needed.');
  }
  const slotsOf = (daemon: Daemon, kind: string): number =>
    deployment.workersServedBy(daemon, kind).length * slotsPerWorker;
  for (let round = 0; round < rounds; round += 1) {
    // Each job has a little more tasks than fit at once where its process dispatches itself.
    const load = sendSmallJobs(record, beside, slotsOf(beside, 'a') + 1);
    await sleep(longJobDelayMs);
    const long = submit(record, [victim, far], createLongJob(slotsOf(victim, 'b') + 2));
    await sleep(killDelayMs);
    const killAgainAndAgain = async (): Promise<void> => {
      for (let count = 0; count < kills; count += 1) {
        await sleep(count === 0 ? 0 : nextKillMs);
        record.write(`trouble: ${victim.name} is killed`);
        await victim.kill();
        await sleep(restartDelayMs);
        victim.start();
        record.write(`trouble: ${victim.name} is started again`);
      }
    };
    await Promise.all([load, long, hasTrouble ? killAgainAndAgain() : undefined]);
    await sleep(settleMs);
  }
  const verdict = judgeOverlaps(record, deployment.runs);
  await deployment.close();
  return verdict;
});
