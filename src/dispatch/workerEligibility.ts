/**
 * Which workers may run a task.
 */
import { hasEnough } from '../types/resources.js';
import type { ManagedWorker } from './managedWorker.js';
import type { BatchedTask } from './openBatch.js';
import { stepNameOf } from './taskNames.js';
import { hasRequiredLabel } from './workerChoice.js';

/** Returns whether a worker may run a task, now or once capacity is free or a pause has ended. */
export const isEligible = (
  worker: ManagedWorker,
  { batch, avoidedWorkerIds }: BatchedTask,
): boolean => {
  const { needs, serviceId } = batch.content;
  const { capacity, labels } = worker.record;
  return (
    worker.isInService &&
    worker.record.serviceId === serviceId &&
    !avoidedWorkerIds.has(worker.workerId) &&
    hasEnough(needs.resources, capacity) &&
    hasRequiredLabel(needs, labels)
  );
};

/** Returns whether a worker may start a task now, free capacity and labels not yet checked. */
export const canStartNow = (worker: ManagedWorker, task: BatchedTask): boolean => {
  const { batch, avoidedWorkerIds } = task;
  const { serviceId, needs } = batch.content;
  const isFull =
    needs.maxPerWorker !== undefined && worker.countStep(stepNameOf(batch)) >= needs.maxPerWorker;
  return (
    worker.isOpen &&
    !isFull &&
    worker.record.serviceId === serviceId &&
    !avoidedWorkerIds.has(worker.workerId) &&
    worker.canRunUntil(batch.runsUntilMs)
  );
};
