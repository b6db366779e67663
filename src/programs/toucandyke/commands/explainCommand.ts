/**
 * `toucandyke explain`: the course of a job, from what all daemons remember of it.
 */
import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { explainJob } from '../../../explain/explainJob.js';
import { explainLogs } from '../../../explain/explainLogs.js';
import { parseLog } from '../../../explain/logLines.js';
import type { DaemonTrace } from '../../../explain/explainJob.js';
import { exitCodes } from '../exitCodes.js';
import { collectTraces } from '../operatorAccess.js';
import { tokenOption } from '../operatorOptions.js';

export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Tells when a job came, what was decided, and where each task ran.',
    details: `
      Asks every daemon given. The memory of a daemon ends with its process and is bounded; the
      oldest jobs go first. With --logs, the command reads the daemons' logs instead and asks nobody.
      Exit codes: 0 explained, 1 nobody knows the job, 2 a log cannot be read.
    `,
    examples: [
      [
        'Explain a job by its key',
        'toucandyke explain 4f1c.1~order-1 --operators 10.0.0.1:4102,10.0.0.2:4102',
      ],
      [
        'Explain a job by its id, from the logs of two VMs',
        'toucandyke explain 5c0e7a21d94b36f8 --logs vm-1.log --logs vm-2.log',
      ],
    ],
  });

  job = Option.String();
  logs = Option.Array('--logs', [], { description: 'Log of a daemon; may be given several times' });
  operators = Option.String('--operators', '', {
    description: "Addresses of daemons' operators' interfaces, with commas between",
  });
  token = tokenOption();
  json = Option.Boolean('--json', false, { description: 'Print the events as JSON' });

  async execute(): Promise<number> {
    if (this.logs.length > 0) {
      return this.explainFromLogs();
    }
    if (this.operators === '') {
      this.context.stderr.write('Name the daemons with --operators, or logs with --logs.\n');
      return exitCodes.invalid;
    }
    return this.explainFromDaemons();
  }

  private explainFromLogs(): number {
    const texts: string[] = [];
    for (const file of this.logs) {
      try {
        texts.push(readFileSync(file, 'utf8'));
      } catch (error) {
        this.context.stderr.write(`${file} cannot be read: ${String(error)}\n`);
        return exitCodes.invalid;
      }
    }
    const told = explainLogs(texts.flatMap(parseLog), this.job);
    if (told.length === 0) {
      this.context.stderr.write(`No line of the logs tells of ${this.job}.\n`);
      return exitCodes.failed;
    }
    this.context.stdout.write(this.json ? `${JSON.stringify(told)}\n` : `${told.join('\n')}\n`);
    return exitCodes.done;
  }

  private async explainFromDaemons(): Promise<number> {
    const own = await collectTraces(this.operators, this.token, this.job);
    for (const failure of own.failures) {
      this.context.stderr.write(`No answer from ${failure}\n`);
    }
    if (own.traces.length === 0) {
      this.context.stderr.write(`No daemon that answered remembers ${this.job}.\n`);
      return exitCodes.failed;
    }
    const traces = [...own.traces, ...(await this.collectFromPeers(own.traces))];
    this.context.stdout.write(
      this.json ? `${JSON.stringify(traces)}\n` : `${explainJob(traces).join('\n')}\n`,
    );
    return exitCodes.done;
  }

  /** Peers that ran tasks of the job know it by its id only. */
  private async collectFromPeers(own: readonly DaemonTrace[]): Promise<DaemonTrace[]> {
    const ids = new Set(own.flatMap(({ trace }) => (trace.jobId === null ? [] : [trace.jobId])));
    ids.delete(this.job);
    const found = await Promise.all(
      [...ids].map((jobId) => collectTraces(this.operators, this.token, jobId)),
    );
    return found.flatMap(({ traces }) => traces).filter(({ trace }) => trace.key === null);
  }
}
