/**
 * Finds the workers that a walk gets into trouble: those that run tasks in a calm fleet.
 */
import { silentLogger } from '../../silentLogger.js';
import { applyEvent } from '../applyEvent.js';
import { ModelFleet } from '../modelFleet.js';
import type { Situation } from './situations.js';

/** @returns the indices of the workers of the dispatcher's domain that run tasks when the troubles come */
export const findRunningWorkers = async ({
  calm,
  dispatcherDomain,
  troubleAtMs,
}: Situation): Promise<number[]> => {
  const fleet = await ModelFleet.create(calm, () => silentLogger);
  calm.events.forEach((event, index) =>
    fleet.at(event.atMs, () => applyEvent(fleet, event, index)),
  );
  await fleet.runUntil(troubleAtMs);
  const busy = [...fleet.workers.entries()].filter(([, { life }]) => (life?.runCount ?? 0) > 0);
  fleet.close();
  return busy
    .map(([index]) => index)
    .filter((index) => calm.workers[index]?.domain === dispatcherDomain);
};
