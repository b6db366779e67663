/**
 * Checks the settings of a daemon.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Fault } from './fault.js';
import { settingsSchema } from './settings.js';
import type { Settings } from './settings.js';

/**
 * Checks a value of unknown shape.
 *
 * @param value - the parsed file
 * @returns the settings with defaults filled in, or every fault that was found
 */
export const checkSettings = (value: unknown): Result<Settings, Fault[]> => {
  const parsed = settingsSchema.safeParse(value);
  return parsed.success
    ? Ok(parsed.data)
    : Err(parsed.error.issues.map(({ path, message }) => ({ path, message })));
};
