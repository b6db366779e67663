/**
 * Carries what a new configuration takes away over to the jobs that have not ended.
 */
import type {
  ActiveConfiguration,
  ConfigurationStore,
} from '../configuration/configurationStore.js';
import type { JobRunner, JobStart, RemovedPart } from './jobRunner.js';

/**
 * Ends the waiting tasks of jobs whose caller or operation a new configuration no longer has.
 *
 * @param configuration - tells of new versions
 * @param runner - has the running jobs
 */
export const followConfiguration = (configuration: ConfigurationStore, runner: JobRunner): void =>
  configuration.onChange((active) => runner.removeWaiting((job) => findRemoved(job, active)));

const findRemoved = (
  { caller, submission }: JobStart,
  { inventory }: ActiveConfiguration,
): RemovedPart | undefined => {
  if (inventory.callerById(caller.callerId) === undefined) {
    return 'caller';
  }
  const hasOperations = submission.tasks.every(({ operation }) =>
    inventory.operations.has(operation),
  );
  return hasOperations ? undefined : 'operation';
};
