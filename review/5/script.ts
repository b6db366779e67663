/**
 * A machine freezes for four seconds. A client's request, sent meanwhile, gets no answer, and the client
 * sends it again, to a machine of another zone, as the pages say. Then the machine wakes.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createJobId, submit } from '../harness/client.js';
import type { Job } from '../harness/client.js';
import { Deployment } from '../harness/deployment.js';
import { hasTrouble, runScript } from '../harness/main.js';
import { judgeOverlaps } from '../harness/overlapVerdict.js';

const rounds = 5;
const cpu = 14_000;
const memMb = 64;
const deadlineMs = 1_500;
const freezeMs = 4_000;
/** Time from the begin of the freeze to the request. */
const requestDelayMs = 100;
const settleMs = 7_000;

const createJob = (runMs: number, estimatedMs: number): Job => ({
  id: createJobId(),
  spec: { runMs, cpu },
  steps: [{ count: 4, cpu, memMb, estimatedMs }],
  deadlineMs,
});

void runScript(5, async (record) => {
  const deployment = await Deployment.create({
    record,
    daemons: ['muenchen', 'nuernberg', 'augsburg'],
    workers: ['muenchen', 'nuernberg', 'augsburg'].flatMap((zone) =>
      Array<string>(5).fill(`${zone} a`),
    ),
    workerCpu: 32_000,
    routeTimeoutMs: deadlineMs,
  });
  for (let round = 0; round < rounds; round += 1) {
    const frozen = deployment.daemon(round % 3);
    const other = deployment.daemon((round + 1) % 3);
    await Promise.all(deployment.daemons.map((one) => submit(record, [one], createJob(60, 60))));
    const freeze = async (): Promise<void> => {
      record.write(`trouble: ${frozen.name} freezes`);
      frozen.signal('SIGSTOP');
      await sleep(freezeMs);
      frozen.signal('SIGCONT');
      record.write(`trouble: ${frozen.name} wakes`);
    };
    const freezing = hasTrouble ? freeze() : sleep(freezeMs);
    await sleep(requestDelayMs);
    await submit(record, [frozen, other], createJob(1_400, 1_200));
    await freezing;
    await sleep(settleMs);
  }
  const verdict = judgeOverlaps(record, deployment.runs);
  await deployment.close();
  return verdict;
});
