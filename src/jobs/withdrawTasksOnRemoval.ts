/**
 * Withdraws waiting tasks of running jobs when a new configuration removes their caller or operation.
 */
import type {
  ActiveConfiguration,
  ConfigurationStore,
} from '../configuration/configurationStore.js';
import type { JobRunner, JobSpec, RemovedEntity } from './jobRunner.js';

/**
 * Withdraws the waiting tasks of a job whenever a new configuration lacks the job's caller or one of
 * its operations; running tasks go on.
 *
 * @param configuration - the store that announces new configurations
 * @param runner - the runner of the jobs
 */
export const withdrawTasksOnRemoval = (
  configuration: ConfigurationStore,
  runner: JobRunner,
): void =>
  configuration.onChange((active) =>
    runner.withdrawWaitingTasks((job) => findRemovedEntity(job, active)),
  );

const findRemovedEntity = (
  { caller, submission }: JobSpec,
  { inventory }: ActiveConfiguration,
): RemovedEntity | undefined => {
  if (inventory.findCallerById(caller.callerId) === undefined) {
    return 'caller';
  }
  const hasOperations = submission.tasks.every(({ operation }) =>
    inventory.operations.has(operation),
  );
  return hasOperations ? undefined : 'operation';
};
