/**
 * `toucandyke config show`: shows the configuration in force, read from the log service.
 */
import { Command, Option } from 'clipanion';
import { stringify } from 'yaml';
import { LogHttpClient } from '../../../adapters/logHttp/logHttpClient.js';
import { SystemClock } from '../../../adapters/system/systemClock.js';
import { readCurrentRecord } from '../../../configuration/publisher.js';
import type { ConfigurationRecord } from '../../../types/configuration.js';
import { exitCodes } from '../exitCodes.js';

const logTimeoutMs = 10_000;

export class ConfigShowCommand extends Command {
  static override paths = [['config', 'show']];
  static override usage = Command.Usage({
    description: 'Shows the configuration in force, in the form that config publish reads.',
    details: 'Exit codes: 0 shown, 1 the log service did not answer or holds no version in force.',
    examples: [
      ['Show as YAML', 'toucandyke config show --log 10.0.0.9:4000 > current.yaml'],
      ['Show the whole record', 'toucandyke config show --log 10.0.0.9:4000 --json'],
    ],
  });

  log = Option.String('--log', { required: true, description: 'Address of the log service' });
  json = Option.Boolean('--json', false, { description: 'Print the whole record as JSON' });

  async execute(): Promise<number> {
    const log = LogHttpClient.create(this.log);
    const publisher = { logService: log, clock: SystemClock.create() };
    const record = await readCurrentRecord(publisher, AbortSignal.timeout(logTimeoutMs));
    await log.close();
    if (record.isErr() || record.value === undefined) {
      const reason = record.isErr() ? record.error.kind : 'nothing is published';
      this.context.stderr.write(`No version can be shown: ${reason}.\n`);
      return exitCodes.failed;
    }
    this.context.stdout.write(
      this.json ? `${JSON.stringify(record.value)}\n` : formatRecord(record.value),
    );
    return exitCodes.done;
  }
}

const formatRecord = ({ version, publishedBy, configuration }: ConfigurationRecord): string =>
  `# Version ${version}, published by ${publishedBy}. Change it with --base ${version}.\n` +
  stringify(configuration);
