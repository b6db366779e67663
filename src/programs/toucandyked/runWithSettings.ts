/**
 * Runs the daemon with a settings file given by its path.
 */
import { formatFault, readYamlFile } from '../../adapters/yaml/readYamlFile.js';
import { checkSettings } from '../../config/checkSettings.js';
import { DaemonProcess } from './daemonProcess.js';

const usageExitCode = 2;

/**
 * Starts the daemon, which shuts down as planned on SIGTERM or SIGINT.
 *
 * @param file - path of the settings file
 */
export const runWithSettings = async (file: string): Promise<void> => {
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
