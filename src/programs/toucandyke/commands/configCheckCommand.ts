/**
 * `toucandyke config check`: lists every fault of a file with its location.
 */
import { Command, Option } from 'clipanion';
import type { Result } from 'ts-results-es';
import { formatFault, readYamlFile } from '../../../adapters/yaml/readYamlFile.js';
import type { LocatedFault } from '../../../adapters/yaml/readYamlFile.js';
import { checkSettings } from '../../../config/checkSettings.js';
import { checkConfiguration } from '../../../configuration/checkConfiguration.js';

const invalidExitCode = 2;

export class ConfigCheckCommand extends Command {
  static override paths = [['config', 'check']];
  static override usage = Command.Usage({
    description: 'Checks a configuration, or the settings of a daemon.',
    examples: [
      ['Check a configuration', 'toucandyke config check examples/verband.yaml'],
      ['Check settings', 'toucandyke config check --settings examples/daemon.yaml'],
    ],
  });

  file = Option.String();
  settings = Option.Boolean('--settings', false, {
    description: 'Check the settings of a daemon instead',
  });
  json = Option.Boolean('--json', false, { description: 'Print the faults as JSON' });

  async execute(): Promise<number> {
    const checked: Result<unknown, LocatedFault[]> = this.settings
      ? readYamlFile(this.file, checkSettings)
      : readYamlFile(this.file, checkConfiguration);
    const faults = checked.isErr() ? checked.error : [];
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({ file: this.file, faults })}\n`);
      return faults.length === 0 ? 0 : invalidExitCode;
    }
    for (const fault of faults) {
      this.context.stderr.write(`${formatFault(this.file, fault)}\n`);
    }
    if (faults.length === 0) {
      this.context.stdout.write(`${this.file} is valid.\n`);
    }
    return faults.length === 0 ? 0 : invalidExitCode;
  }
}
