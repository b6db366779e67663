/**
 * Brings the limits of each new configuration into force, also for work that waits already.
 */
import type { ConfigurationStore } from '../configuration/configurationStore.js';
import type { TaskQueue } from '../queue/taskQueue.js';

/**
 * Follows the configuration.
 *
 * @param configuration - tells of new versions
 * @param queue - the waiting work
 */
export const followLimits = (configuration: ConfigurationStore, queue: TaskQueue): void =>
  configuration.onChange(({ inventory, rules }) => {
    queue.trialCap.setShare(rules.trialSlotShare);
    queue.setStandings((callerId) => {
      const caller = inventory.callerById(callerId);
      return caller === undefined
        ? undefined
        : { callerClass: caller.class, teamId: caller.teamId };
    });
  });
