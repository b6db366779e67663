/**
 * Runs the daemon with a settings file given by its path.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { formatFault, parseYaml, readFileText } from '../../adapters/yaml/readYamlFile.js';
import { RoarrLogger } from '../../adapters/system/roarrLogger.js';
import { SystemClock } from '../../adapters/system/systemClock.js';
import { checkSettings } from '../../config/checkSettings.js';
import { readInitialSettings } from '../../config/initialSettings.js';
import type { Settings } from '../../config/settings.js';
import { DaemonProcess } from './daemonProcess.js';
import type { ReloadSignal } from './reloadSignal.js';

const usageExitCode = 2;
/** Stands for the VM in the log until its settings are known. */
const unknownVmId = '-';

/** Fields of the settings that take effect in a running daemon. */
const liveFields = ['drainGraceMs', 'logLevel'] as const;

/**
 * Starts the daemon, which shuts down as planned on SIGTERM or SIGINT.
 *
 * @param file - path of the settings file
 * @param reload - says that the settings file has changed
 */
export const runWithSettings = async (file: string, reload: ReloadSignal): Promise<void> => {
  const readText = () => readFileText(file);
  const decode = (text: string) => decodeSettings(file, text);
  const readLocated = () =>
    readText().mapErr((message) => formatFault(file, { line: 0, path: '', message }));
  const settings = await readInitialSettings({
    clock: SystemClock.create(),
    logger: RoarrLogger.create('info', unknownVmId),
    source: { readText: readLocated, decode },
  });
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`);
    process.exitCode = usageExitCode;
    return;
  }
  const daemon = await DaemonProcess.create(settings.value);
  const follower = daemon.followSettings({ readText, decode }, liveFields);
  reload.listen(() => follower.reload());
  const stop = async (): Promise<void> => {
    reload.ignore();
    await follower.close();
    await daemon.close();
  };
  process.once('SIGTERM', () => void stop());
  process.once('SIGINT', () => void stop());
};

/** Decodes the settings; the error has a line for each fault. */
const decodeSettings = (file: string, text: string): Result<Settings, string> => {
  const settings = parseYaml(text, checkSettings);
  return settings.isOk()
    ? Ok(settings.value)
    : Err(settings.error.map((fault) => formatFault(file, fault)).join('\n'));
};
