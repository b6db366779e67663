/**
 * Another writer adds entries to the list of workers, with an address that is none.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createJobId, submit } from '../harness/client.js';
import type { Daemon } from '../harness/daemon.js';
import { Deployment } from '../harness/deployment.js';
import { hasTrouble, runScript } from '../harness/main.js';
import { workerTopic } from '../../standins/platform/topics.js';

const cpu = 14_000;
const entryCount = 8;
/** Fields that cannot be read as an address: a port beyond 65,535. */
const address = '127.0.0.1:80800';
const watchMs = 30_000;
const pollMs = 50;
/** Time after which the platform starts a process again that has ended. */
const restartDelayMs = 500;
const jobPeriodMs = 1_000;
/** Ends of processes by themselves, on this many machines at least, with which a day counts 0. */
const maxEnds = 3;
const maxMachines = 2;

void runScript(5, async (record) => {
  const deployment = await Deployment.create({
    record,
    daemons: ['muenchen', 'muenchen', 'muenchen'],
    workers: Array<string>(6).fill('muenchen a'),
    workerCpu: 32_000,
    routeTimeoutMs: 1_500,
  });
  if (hasTrouble) {
    const entry = Buffer.from(
      JSON.stringify({
        service: deployment.service,
        address,
        zone: 'muenchen',
        state: 'ready',
        born: Date.now(),
        capacity: { cpu: 32_000, memMb: 65_536, gpu: 0 },
        labels: ['a', 'r1-1'],
        sequence: 1,
      }),
    );
    for (let number = 0; number < entryCount; number += 1) {
      deployment.store.log(workerTopic).append(`i-other-${number}`, entry);
    }
    record.write(`trouble: another writer adds ${entryCount} entries with address ${address}`);
  }
  const endMs = performance.now() + watchMs;
  const ends = new Map<Daemon, number>();
  const watch = async (daemon: Daemon): Promise<void> => {
    while (performance.now() < endMs) {
      await sleep(pollMs);
      if (!daemon.isRunning) {
        ends.set(daemon, (ends.get(daemon) ?? 0) + 1);
        record.write(`platform: ${daemon.name} has ended by itself: ${daemon.lastError()}`);
        await sleep(restartDelayMs);
        daemon.start();
      }
    }
  };
  const sendJobs = async (): Promise<void> => {
    while (performance.now() < endMs) {
      await submit(record, deployment.daemons.slice(0, 1), {
        id: createJobId(),
        spec: { runMs: 100, cpu },
        steps: [{ count: 4, cpu, memMb: 64, estimatedMs: 100 }],
        deadlineMs: 1_500,
      });
      await sleep(jobPeriodMs);
    }
  };
  await Promise.all([...deployment.daemons.map((daemon) => watch(daemon)), sendJobs()]);
  const counts = deployment.daemons.map((daemon) => ends.get(daemon) ?? 0);
  await deployment.close();
  return {
    isBroken: counts.filter((count) => count >= maxEnds).length >= maxMachines,
    detail: `ends of processes by themselves, by machine: ${counts.join(', ')}`,
  };
});
