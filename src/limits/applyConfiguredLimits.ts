/**
 * Applies the limits of each new configuration, also to waiting work.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import type { QuotaAllocator } from './quotaAllocator.js';

/**
 * Applies quotas, the trial share, and class and team of each caller whenever the configuration
 * changes.
 *
 * @param configuration - notifies about new versions
 * @param queue - queue whose limits are set
 * @param quotas - computes the limits of teams with quotas
 */
export const applyConfiguredLimits = (
  configuration: ConfigurationStore,
  queue: TaskQueue,
  quotas: QuotaAllocator,
): void =>
  configuration.onChange((active) => {
    const { inventory, rules } = active;
    quotas.apply(active);
    queue.trialCap.setShare(rules.trialSlotShare);
    queue.setCallerGroups((callerId) => {
      const caller = inventory.findCallerById(callerId);
      return caller === undefined
        ? undefined
        : { callerClass: caller.class, teamId: caller.teamId };
    });
  });
