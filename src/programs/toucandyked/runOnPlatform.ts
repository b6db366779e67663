/**
 * Runs the daemon on the users' platform, with the settings file that the platform provides.
 */
import { once } from 'node:events';
import { readPlatformSettings, settingsPathVariable } from '../../../platform/settings.js';
import { PlatformProcess } from './platformProcess.js';

const usageExitCode = 2;

/** Runs the daemon until SIGTERM, then shuts it down as planned. */
export const runOnPlatform = async (): Promise<void> => {
  const path = process.env[settingsPathVariable] ?? '';
  const settings = readPlatformSettings(path);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`);
    process.exitCode = usageExitCode;
    return;
  }
  // Waits from here on, so that a signal during the start stops the daemon once it has started.
  const terminated = once(process, 'SIGTERM');
  const daemon = await PlatformProcess.create(settings.value);
  await terminated;
  await daemon.close();
  process.exit(0);
};
