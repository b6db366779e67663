/**
 * Brings the limits of each new configuration into force, also for work that waits already.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import type { TaskQueue } from '../queue/taskQueue.js';
import type { QuotaKeeper } from './quotaKeeper.js';

/**
 * Follows the configuration.
 *
 * @param configuration - tells of new versions
 * @param queue - the waiting work
 * @param quotas - keeps the quotas of teams
 */
export const followLimits = (
  configuration: ConfigurationStore,
  queue: TaskQueue,
  quotas: QuotaKeeper,
): void =>
  configuration.onChange((active) => {
    const { inventory, rules } = active;
    quotas.apply(active);
    queue.trialCap.setShare(rules.trialSlotShare);
    queue.setStandings((callerId) => {
      const caller = inventory.callerById(callerId);
      return caller === undefined
        ? undefined
        : { callerClass: caller.class, teamId: caller.teamId };
    });
  });
