/**
 * Runs the daemon on the users' platform, with the settings file that the platform provides.
 */
import { once } from 'node:events';
import {
  decodePlatformSettings,
  livePlatformFields,
  readSettingsText,
  settingsPathVariable,
} from '../../../platform/settings.js';
import { RoarrLogger } from '../../adapters/system/roarrLogger.js';
import { SystemClock } from '../../adapters/system/systemClock.js';
import { readInitialSettings } from '../../config/initialSettings.js';
import { reportUnhandledRejections } from './lastResort.js';
import { PlatformProcess } from './platformProcess.js';
import type { ReloadSignal } from './reloadSignal.js';

const usageExitCode = 2;
/** Stands for the VM in the log until its settings are known. */
const unknownVmId = '-';

/**
 * Runs the daemon until SIGTERM or SIGINT, then shuts it down as planned.
 *
 * @param reload - says that the settings file has changed
 */
export const runOnPlatform = async (reload: ReloadSignal): Promise<void> => {
  const path = process.env[settingsPathVariable] ?? '';
  const source = { readText: () => readSettingsText(path), decode: decodePlatformSettings };
  const settings = await readInitialSettings({
    clock: SystemClock.create(),
    logger: RoarrLogger.create('info', unknownVmId),
    source,
  });
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`);
    process.exitCode = usageExitCode;
    return;
  }
  // Waits from here on, so that a signal during the start stops the daemon once it has started.
  const stopped = Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
  const daemon = await PlatformProcess.create(settings.value);
  reportUnhandledRejections(daemon.supervisor);
  const follower = daemon.followSettings(source, livePlatformFields);
  reload.listen(() => follower.reload());
  await stopped;
  reload.ignore();
  try {
    await follower.close();
    await daemon.close();
  } finally {
    // Also after an error, which would otherwise only be reported.
    process.exit(0);
  }
};
