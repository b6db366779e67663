/**
 * Runs the daemon on the users' platform, with the settings file that the platform gives.
 */
import { readPlatformSettings, settingsPathVariable } from '../../../platform/settings.js';
import { PlatformProcess } from './platformProcess.js';

const usageExitCode = 2;

/** Starts the daemon; it stops on SIGTERM. */
export const runOnPlatform = async (): Promise<void> => {
  const path = process.env[settingsPathVariable] ?? '';
  const settings = readPlatformSettings(path);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`);
    process.exitCode = usageExitCode;
    return;
  }
  const daemon = await PlatformProcess.create(settings.value);
  process.once('SIGTERM', () => void daemon.close().then(() => process.exit(0)));
};
