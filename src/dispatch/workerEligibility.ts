/**
 * Which workers may run a task.
 */
import { hasEnough } from '../types/resources.js';
import type { ManagedWorker } from './managedWorker.js';
import type { BatchedTask } from './openBatch.js';
import { stepNameOf } from './taskNames.js';
import { hasRequiredLabel } from './workerChoice.js';

/** Returns whether a worker is of the kind and size for a task. */
export const fits = ({ record }: ManagedWorker, { batch }: BatchedTask): boolean => {
  const { needs, serviceId } = batch.content;
  return (
    record.serviceId === serviceId &&
    hasEnough(needs.resources, record.capacity) &&
    hasRequiredLabel(needs, record.labels)
  );
};

/** Returns whether a worker may run a task, now or once capacity is free or a pause has ended. */
export const isEligible = (worker: ManagedWorker, task: BatchedTask): boolean =>
  worker.isInService && !task.avoidedWorkerIds.has(worker.workerId) && fits(worker, task);

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
