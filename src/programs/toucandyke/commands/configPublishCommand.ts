/**
 * `toucandyke config publish`: publishes a configuration as the next version.
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
import { describeRollout } from '../../../configuration/rollout.js';
import type { Rollout, RolloutRow } from '../../../configuration/rollout.js';
import type { Configuration } from '../../../types/configuration.js';
import { unreachable } from '../../../errors/unreachable.js';
import { exitCodes } from '../exitCodes.js';
import { fetchStatus } from '../operatorQueries.js';
import { formatTable } from '../output/formatTable.js';
import { tokenOption } from '../operatorOptions.js';

const publishTimeoutMs = 10_000;
const statusPollMs = 500;

export class ConfigPublishCommand extends Command {
  static override paths = [['config', 'publish']];
  static override usage = Command.Usage({
    description: 'Publishes a configuration as the next version.',
    details: `
      Exit codes: 0 published (with --wait: in force on every daemon), 1 not published or the outcome
      is unknown, 2 the file or an option is not valid, 3 conflict with another operator, 4 published
      but not in force on every daemon within the time of --wait-seconds.
    `,
    examples: [
      ['Publish', 'toucandyke config publish examples/verband.yaml --log 127.0.0.1:14001'],
      [
        'Publish a change to version 7 and wait until every daemon runs it',
        'toucandyke config publish new.yaml --log 10.0.0.9:4000 --base 7 --wait --operators 10.0.0.1:4102',
      ],
    ],
  });

  file = Option.String();
  log = Option.String('--log', { required: true, description: 'Address of the log service' });
  base = Option.String('--base', { description: 'The version that the change is based on' });
  reset = Option.Boolean('--reset', false, {
    description: 'Restart above --base if the log service no longer holds the version in force',
  });
  wait = Option.Boolean('--wait', false, { description: 'Wait until every daemon runs it' });
  waitSeconds = Option.String('--wait-seconds', '10', {
    description: 'Time limit of --wait, in seconds',
  });
  operators = Option.String('--operators', '', {
    description: 'Comma-separated addresses of the operator interfaces of daemons',
  });
  token = tokenOption();
  json = Option.Boolean('--json', false, { description: 'Print the result as JSON' });

  async execute(): Promise<number> {
    const usageError = this.findUsageError();
    if (usageError !== undefined) {
      this.context.stderr.write(`${usageError}\n`);
      return exitCodes.invalid;
    }
    const configuration = readYamlFile(this.file, checkConfiguration);
    if (configuration.isErr()) {
      for (const fault of configuration.error) {
        this.context.stderr.write(`${formatFault(this.file, fault)}\n`);
      }
      return exitCodes.invalid;
    }
    return this.publish(configuration.value);
  }

  private findUsageError(): string | undefined {
    if (this.base !== undefined && !/^\d{1,15}$/.test(this.base)) {
      return '--base must be a version, such as 7.';
    }
    if (this.reset && this.base === undefined) {
      return '--reset needs --base: the highest version that any daemon runs.';
    }
    if (this.wait && this.operators === '') {
      return '--wait needs --operators.';
    }
    return /^\d{1,6}$/.test(this.waitSeconds) ? undefined : '--wait-seconds must be a number.';
  }

  private async publish(configuration: Configuration): Promise<number> {
    const log = LogHttpClient.create(this.log);
    const publisher = { logService: log, clock: SystemClock.create() };
    const request = {
      configuration,
      publishedBy: userInfo().username,
      publicationId: SystemRandom.create().id(),
      reset: this.reset,
      ...(this.base === undefined ? {} : { baseVersion: Number(this.base) }),
    };
    const signal = AbortSignal.timeout(publishTimeoutMs);
    const version = await publishConfiguration(publisher, request, signal);
    await log.close();
    if (version.isErr()) {
      return this.reportError(version.error);
    }
    return this.wait ? this.waitUntilInForce(version.value) : this.reportVersion(version.value);
  }

  private reportVersion(version: number): number {
    this.context.stdout.write(
      this.json ? `${JSON.stringify({ version })}\n` : `Version ${version} is published.\n`,
    );
    return exitCodes.done;
  }

  private reportError(error: PublishError): number {
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({ error })}\n`);
    }
    this.context.stderr.write(`${describeError(error)}\n`);
    return error.kind === 'conflict' ? exitCodes.conflict : exitCodes.failed;
  }

  private async waitUntilInForce(version: number): Promise<number> {
    const clock = SystemClock.create();
    const endAtMs = clock.nowMs() + Number(this.waitSeconds) * 1_000;
    for (;;) {
      const status = await fetchStatus(this.operators, this.token);
      const rollout = status.map((value) => describeRollout(version, value));
      const isDone = rollout.isOk() && rollout.value.isInForceEverywhere;
      if (!isDone && clock.nowMs() < endAtMs) {
        await clock.sleep(statusPollMs);
        continue;
      }
      if (rollout.isErr()) {
        const detail = `Version ${version} is published, but no daemon answered`;
        this.context.stderr.write(`${detail}: ${rollout.error}\n`);
        return exitCodes.notEverywhere;
      }
      return this.reportRollout(rollout.value);
    }
  }

  private reportRollout(rollout: Rollout): number {
    const { version, rows, isInForceEverywhere } = rollout;
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify(rollout)}\n`);
    } else {
      const scope = isInForceEverywhere ? 'in force on every daemon' : 'not in force everywhere';
      this.context.stdout.write(
        formatTable(['VM', 'FAILURE DOMAIN', 'VERSION'], rows.map(toRolloutCells)),
      );
      this.context.stdout.write(`Version ${version} is published and ${scope}.\n`);
    }
    return isInForceEverywhere ? exitCodes.done : exitCodes.notEverywhere;
  }
}

const toRolloutCells = (row: RolloutRow): string[] => {
  switch (row.kind) {
    case 'heard':
      return [row.vmId, row.failureDomainId, String(row.version)];
    case 'unheard':
      return [row.vmId, '-', 'not heard'];
    default:
      return unreachable(row);
  }
};

const describeError = (error: PublishError): string => {
  switch (error.kind) {
    case 'conflict':
      return (
        `Conflict: version ${error.version} by ${error.publishedBy || 'nobody'} is in force. ` +
        'Base the change on it and publish again.'
      );
    case 'log-unavailable':
      return `Nothing was published because the log service is unavailable: ${error.detail}`;
    case 'history-lost':
      return 'The log service no longer holds the version in force. Wait until a daemon writes it again, or see --reset.';
    case 'outcome-unknown':
      return `The outcome is unknown: the version may still take effect; check with config show. ${error.detail}`;
    default:
      return unreachable(error);
  }
};
