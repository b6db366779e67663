/**
 * `toucandyke report burn`: reports how fast each caller class uses up its error budget.
 */
import { writeFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { LogHttpClient } from '../../../adapters/logHttp/logHttpClient.js';
import type { ServiceLevelObjective } from '../../../types/configuration.js';
import { burnWindows, computeBurn } from '../../../report/computeBurn.js';
import { minuteMs } from '../../../report/minuteWriter.js';
import { readMinuteSums } from '../../../report/readMinuteSums.js';
import type { MinuteSum } from '../../../types/report.js';
import { exitCodes } from '../exitCodes.js';
import { collectServiceLevels } from '../operatorQueries.js';
import type { CollectedServiceLevels } from '../operatorQueries.js';
import { formatBurn } from '../output/formatBurn.js';
import type { BurnReport } from '../output/formatBurn.js';
import { renderBurnPage } from '../output/renderBurnPage.js';
import { operatorsOption, tokenOption } from '../operatorOptions.js';

const logTimeoutMs = 30_000;

export class ReportBurnCommand extends Command {
  static override paths = [['report', 'burn']];
  static override usage = Command.Usage({
    description: 'Reports how fast each caller class uses up its error budget.',
    details: `
      Reads the minute sums of the log service, and from the daemons those not written there yet.
      Minutes without sums are reported as missing and count neither as good nor as bad. Exit codes:
      0 reported, 1 no daemon reported an objective.
    `,
    examples: [
      [
        'Report as a table',
        'toucandyke report burn --log 10.0.0.9:14001 --operators 10.0.0.1:4102,10.0.0.2:4102',
      ],
      [
        'Write a page with plots',
        'toucandyke report burn --log 10.0.0.9:14001 --operators 10.0.0.1:4102 --html burn.html',
      ],
    ],
  });

  log = Option.String('--log', { required: true, description: 'Address of the log service' });
  operators = operatorsOption();
  token = tokenOption();
  json = Option.Boolean('--json', false, { description: 'Print the report as JSON' });
  html = Option.String('--html', { description: 'Write a page with plots to this file' });

  async execute(): Promise<number> {
    const collected = await collectServiceLevels(this.operators, this.token);
    const nowMinute = Math.floor(Date.now() / minuteMs);
    const logged = await this.readLog(nowMinute - Math.max(...burnWindows.map((w) => w.minutes)));
    const objectives = findObjectives(collected);
    if (objectives.length === 0) {
      const reason = collected.failures.join(' ');
      this.context.stderr.write(`No daemon reported its objectives. ${reason}\n`);
      return exitCodes.failed;
    }
    const sums = [...logged.sums, ...collected.answers.flatMap((answer) => answer.sums)];
    const unheard = [...collected.failures, ...logged.failures];
    this.print({ classes: computeBurn(sums, objectives, nowMinute), unheard });
    return exitCodes.done;
  }

  private async readLog(firstMinute: number): Promise<{ sums: MinuteSum[]; failures: string[] }> {
    const log = LogHttpClient.create(this.log);
    const sums = await readMinuteSums(log, firstMinute, AbortSignal.timeout(logTimeoutMs));
    await log.close();
    return sums.isOk()
      ? { sums: sums.value, failures: [] }
      : { sums: [], failures: [`The log service: ${sums.error.detail}`] };
  }

  private print(report: BurnReport): void {
    if (this.html !== undefined) {
      writeFileSync(this.html, renderBurnPage(report));
    }
    this.context.stdout.write(this.json ? `${JSON.stringify(report)}\n` : formatBurn(report));
  }
}

/** Returns the first objectives reported: daemons that run the same version have the same ones. */
const findObjectives = ({ answers }: CollectedServiceLevels): readonly ServiceLevelObjective[] =>
  answers.find(({ objectives }) => objectives.length > 0)?.objectives ?? [];
