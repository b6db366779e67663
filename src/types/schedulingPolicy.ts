/**
 * How jobs that compete for the workers of a service are ordered and admitted.
 */
import { z } from 'zod';
import { unreachable } from '../errors/unreachable.js';

/**
 * `deadline`: by the time by which a task has to start, whatever its priority. `priority`: while routes of different
 * priority compete, by priority with aging; the first blocked task reserves a worker, and less urgent jobs leave free
 * cores for more urgent routes.
 */
export const schedulingPolicySchema = z.enum(['deadline', 'priority']);
export type SchedulingPolicy = z.infer<typeof schedulingPolicySchema>;

/** Whether priorities count where routes of different priority compete. */
export const mayDecideByPriority = (policy: SchedulingPolicy): boolean => {
  switch (policy) {
    case 'deadline':
      return false;
    case 'priority':
      return true;
    default:
      return unreachable(policy);
  }
};
