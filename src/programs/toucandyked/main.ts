#!/usr/bin/env node
/**
 * The daemon: `toucandyked SETTINGS.yaml`, or `toucandyked --platform` on the users' platform, where an
 * environment variable names the settings file. Each variant imports only the modules that it needs, once
 * the signals that may come early are handled.
 */
import { ReloadSignal } from './reloadSignal.js';

const usageExitCode = 2;
const usage = 'Usage: toucandyked SETTINGS.yaml | toucandyked --platform\n';

const main = async (argument: string | undefined, reload: ReloadSignal): Promise<void> => {
  if (argument === '--platform') {
    const { runOnPlatform } = await import('./runOnPlatform.js');
    await runOnPlatform(reload);
    return;
  }
  if (argument === undefined || argument.startsWith('-')) {
    process.stderr.write(usage);
    process.exitCode = argument === '--help' ? 0 : usageExitCode;
    return;
  }
  const { runWithSettings } = await import('./runWithSettings.js');
  await runWithSettings(argument, reload);
};

await main(process.argv[2], ReloadSignal.create());
