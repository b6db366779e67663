/**
 * Reads the settings file when a daemon starts. Another process may be writing it in place just then, so that it is empty
 * or cut off for a moment: a file that is not valid is read again for a short time before it counts as such.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { SettingsSource } from './settingsFollower.js';

/** Period in which a file that is not valid is read again, in milliseconds. */
const retryPeriodMs = 50;
/** Longest time for which it is read again, in milliseconds. */
const maxRetryMs = 2_000;

export interface InitialSettingsOptions<S> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly source: SettingsSource<S>;
}

/**
 * @returns the settings, or what was wrong at the last reading
 */
export const readInitialSettings = async <S>({
  clock,
  logger,
  source,
}: InitialSettingsOptions<S>): Promise<Result<S, string>> => {
  const read = (): Result<S, string> => source.readText().andThen(source.decode);
  const startedAtMs = clock.nowMs();
  const first = read();
  if (first.isOk()) {
    return first;
  }
  let reason = first.error;
  logger
    .forPart('settings')
    .warn('The settings file is not valid; it is read again for a short time.', { reason });
  while (clock.nowMs() - startedAtMs < maxRetryMs) {
    await clock.sleep(retryPeriodMs);
    const settings = read();
    if (settings.isOk()) {
      return settings;
    }
    reason = settings.error;
  }
  return Err(reason);
};
