#!/usr/bin/env node
/**
 * The daemon: `toucandyked SETTINGS.yaml`.
 */
import { formatFault, readYamlFile } from '../../adapters/yaml/readYamlFile.js';
import { checkSettings } from '../../config/checkSettings.js';
import { DaemonProcess } from './daemonProcess.js';

const usageExitCode = 2;

const main = async (file: string | undefined): Promise<void> => {
  if (file === undefined || file.startsWith('-')) {
    process.stderr.write('Usage: toucandyked SETTINGS.yaml\n');
    process.exitCode = file === '--help' ? 0 : usageExitCode;
    return;
  }
  const settings = readYamlFile(file, checkSettings);
  if (settings.isErr()) {
    for (const fault of settings.error) {
      process.stderr.write(`${formatFault(file, fault)}\n`);
    }
    process.exitCode = usageExitCode;
    return;
  }
  const daemon = await DaemonProcess.create(settings.value);
  const stop = (): void => void daemon.close();
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
};

await main(process.argv[2]);
