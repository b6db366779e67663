/**
 * Names and demands of the tasks of a batch.
 */
import type { BatchedTask, OpenBatch } from './openBatch.js';
import type { TaskDemand } from './workerChoice.js';

/** Name of a step on the workers; the second part numbers occurrences of repeating jobs, here 0. */
export const nameStep = (jobId: string, stepIndex: number): string => `${jobId}.0.${stepIndex}`;

/** Name of a task on the workers. */
export const nameTask = (stepName: string, index: number): string => `${stepName}.${index}`;

export const stepNameOf = ({ content }: OpenBatch): string =>
  nameStep(content.jobId, content.stepIndex);

export const taskNameOf = ({ batch, index }: BatchedTask): string =>
  nameTask(stepNameOf(batch), index);

/** Resources, expected run time and time limits of a task, for the choice of its worker. */
export const demandOf = ({ batch }: BatchedTask): TaskDemand => ({
  needs: batch.content.needs,
  estimatedMs: batch.content.estimatedMs,
  objectiveAtMs: batch.objectiveAtMs,
  giveUpAtMs: batch.giveUpAtMs,
});
