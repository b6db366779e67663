/**
 * Checks a whole configuration: its schema, the references between its parts, and rules that depend
 * on one another.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Fault } from '../config/fault.js';
import { checkInventory } from '../inventory/checkInventory.js';
import { configurationSchema } from '../types/configuration.js';
import type { Configuration } from '../types/configuration.js';

/**
 * Checks a value of unknown shape.
 *
 * @param value - a parsed file, or the configuration in a record of the stream
 * @returns the configuration with defaults filled in, or every fault that was found
 */
export const checkConfiguration = (value: unknown): Result<Configuration, Fault[]> => {
  const parsed = configurationSchema.safeParse(value);
  if (!parsed.success) {
    return Err(parsed.error.issues.map(({ path, message }) => ({ path, message })));
  }
  const faults = [...checkInventory(parsed.data.inventory), ...checkRules(parsed.data)];
  return faults.length === 0 ? Ok(parsed.data) : Err(faults);
};

const checkRules = ({ inventory, rules }: Configuration): Fault[] => {
  const teams = new Set(inventory.callers.map((caller) => caller.teamId));
  const faults: Fault[] = rules.quotas.flatMap((quota, i) =>
    teams.has(quota.teamId)
      ? []
      : [
          {
            path: ['rules', 'quotas', i, 'teamId'],
            message: `There is no caller of team ${quota.teamId}.`,
            hint: 'Add a caller of the team or mend the name.',
          },
        ],
  );
  if (rules.resubmissionWindowMs < rules.maxDeadlineMs) {
    faults.push({
      path: ['rules', 'resubmissionWindowMs'],
      message: 'The resubmission window is shorter than the longest deadline.',
      hint: `Use at least ${rules.maxDeadlineMs}.`,
    });
  }
  return faults;
};
