/**
 * `toucandyke config publish`: makes a configuration the next version.
 */
import { userInfo } from 'node:os';
import { Command, Option } from 'clipanion';
import { LogHttpClient } from '../../../adapters/logHttp/logHttpClient.js';
import { SystemClock } from '../../../adapters/system/systemClock.js';
import { SystemRandom } from '../../../adapters/system/systemRandom.js';
import { formatFault, readYamlFile } from '../../../adapters/yaml/readYamlFile.js';
import { checkConfiguration } from '../../../configuration/checkConfiguration.js';
import { publishConfiguration } from '../../../configuration/publisher.js';
import type { PublishError } from '../../../configuration/publisher.js';
import type { Configuration } from '../../../configuration/types.js';
import { unreachable } from '../../../errors/unreachable.js';

const failureExitCode = 1;
const faultExitCode = 2;
const timeoutMs = 10_000;

export class ConfigPublishCommand extends Command {
  static override paths = [['config', 'publish']];
  static override usage = Command.Usage({
    description: 'Publishes a configuration as the next version.',
    examples: [
      ['Publish', 'toucandyke config publish examples/verband.yaml --log 127.0.0.1:40001'],
    ],
  });

  file = Option.String();
  log = Option.String('--log', { required: true, description: 'Address of the log service' });
  base = Option.String('--base', { description: 'The version that was changed' });

  async execute(): Promise<number> {
    const configuration = readYamlFile(this.file, checkConfiguration);
    if (configuration.isErr()) {
      for (const fault of configuration.error) {
        this.context.stderr.write(`${formatFault(this.file, fault)}\n`);
      }
      return faultExitCode;
    }
    return this.publish(configuration.value);
  }

  private async publish(configuration: Configuration): Promise<number> {
    const log = LogHttpClient.create(this.log);
    const request = {
      configuration,
      publishedBy: userInfo().username,
      publicationId: SystemRandom.create().id(),
      ...(this.base === undefined ? {} : { baseVersion: Number(this.base) }),
    };
    const version = await publishConfiguration(
      { logService: log, clock: SystemClock.create() },
      request,
      AbortSignal.timeout(timeoutMs),
    );
    await log.close();
    if (version.isErr()) {
      this.context.stderr.write(`${describe(version.error)}\n`);
      return failureExitCode;
    }
    this.context.stdout.write(`Version ${version.value} is published.\n`);
    return 0;
  }
}

const describe = (error: PublishError): string => {
  switch (error.kind) {
    case 'conflict':
      return `Version ${error.version} is in force; base the change on it and publish again.`;
    case 'log-unavailable':
      return `The log service gave no answer: ${error.detail}`;
    case 'history-lost':
      return 'The log has dropped the version in force; see docs/design/configuration.md.';
    case 'outcome-unknown':
      return `The publication may yet take effect: ${error.detail}`;
    default:
      return unreachable(error);
  }
};
