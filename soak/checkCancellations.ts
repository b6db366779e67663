/**
 * Checks on a calm fleet that a job which is cancelled at another daemon than the one that accepted it
 * does not go on.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { SoakCallers } from './soakCallers.js';
import type { SoakFleet } from './soakFleet.js';

/** Daemons that get such a job at most. */
const maxDaemons = 4;
const tasks = 2;
/** Longer than the time until the cancellation has to be in force. */
const taskMs = 4_500;
/** Time from the request to its cancellation, in milliseconds. */
const cancelDelayMs = 300;
/** Time from the answer to a cancellation until its tasks have to be gone, in milliseconds. */
const maxCancelMs = 3_050;

/** @returns one sentence for each cancelled job that went on */
export const checkCancellations = async (
  fleet: SoakFleet,
  callers: SoakCallers,
): Promise<string[]> => {
  const checks = fleet.daemons.slice(0, maxDaemons).map(async (_, daemon) => {
    const other = (daemon + 1) % fleet.daemons.length;
    const job = callers.createJob(tasks, taskMs);
    const location = `job ${job.jobId} of daemon ${daemon}, cancelled at daemon ${other}`;
    const answered = callers.send(daemon, job);
    await sleep(cancelDelayMs);
    const status = await callers.cancel(other, job);
    const isCancelled = status !== undefined && (status === 410 || Math.floor(status / 100) === 2);
    await sleep(maxCancelMs);
    const goesOn = fleet
      .starts()
      .some(({ task, endedAtMs }) => task.startsWith(`${job.jobId}.`) && endedAtMs === undefined);
    await answered;
    return [
      ...(isCancelled ? [] : [`The cancellation got status ${status ?? '-'}: ${location}.`]),
      ...(goesOn ? [`Went on after its cancellation: ${location}.`] : []),
    ];
  });
  return (await Promise.all(checks)).flat();
};
