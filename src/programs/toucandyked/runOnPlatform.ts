/**
 * Runs the daemon on the users' platform, with the settings file that the platform gives.
 */
import { once } from 'node:events';
import { readPlatformSettings, settingsPathVariable } from '../../../platform/settings.js';
import { PlatformProcess } from './platformProcess.js';

const usageExitCode = 2;

/** Runs the daemon until SIGTERM. */
export const runOnPlatform = async (): Promise<void> => {
  const path = process.env[settingsPathVariable] ?? '';
  const settings = readPlatformSettings(path);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`);
    process.exitCode = usageExitCode;
    return;
  }
  // A signal that comes while the daemon starts ends it when it has started.
  const stopped = once(process, 'SIGTERM');
  const daemon = await PlatformProcess.create(settings.value);
  await stopped;
  await daemon.close();
  process.exit(0);
};
