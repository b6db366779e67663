/**
 * `toucandyke explain`: explains a job from the traces of all daemons, or from their logs.
 */
import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { explainJob } from '../../../explain/explainJob.js';
import { explainLogs } from '../../../explain/explainLogs.js';
import { parseLog } from '../../../explain/logLines.js';
import type { DaemonTrace } from '../../../explain/explainJob.js';
import { exitCodes } from '../exitCodes.js';
import { collectTraces } from '../operatorQueries.js';
import { tokenOption } from '../operatorOptions.js';

export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explains when a job was received, what was decided, and where each task ran.',
    details: `
      Asks every given daemon. A daemon keeps a bounded number of traces in its process's memory and
      evicts the oldest first. With --logs, the command reads logs instead and contacts no daemon.
      Exit codes: 0 explained, 1 no trace of the job was found, 2 a log cannot be read or neither
      option is given.
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
  logs = Option.Array('--logs', [], {
    description: 'Log file of a daemon; may be given several times',
  });
  operators = Option.String('--operators', '', {
    description: 'Comma-separated addresses of the operator interfaces of daemons',
  });
  token = tokenOption();
  json = Option.Boolean('--json', false, { description: 'Print the events as JSON' });

  async execute(): Promise<number> {
    if (this.logs.length > 0) {
      return this.explainFromLogs();
    }
    if (this.operators === '') {
      this.context.stderr.write(
        'Pass addresses of daemons with --operators, or log files with --logs.\n',
      );
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
    const sentences = explainLogs(texts.flatMap(parseLog), this.job);
    if (sentences.length === 0) {
      this.context.stderr.write(`No log line mentions ${this.job}.\n`);
      return exitCodes.failed;
    }
    this.context.stdout.write(
      this.json ? `${JSON.stringify(sentences)}\n` : `${sentences.join('\n')}\n`,
    );
    return exitCodes.done;
  }

  private async explainFromDaemons(): Promise<number> {
    const collected = await collectTraces(this.operators, this.token, this.job);
    for (const failure of collected.failures) {
      this.context.stderr.write(`No answer from ${failure}\n`);
    }
    if (collected.traces.length === 0) {
      this.context.stderr.write(`No daemon that answered has a trace of ${this.job}.\n`);
      return exitCodes.failed;
    }
    const traces = [...collected.traces, ...(await this.collectFromPeers(collected.traces))];
    this.context.stdout.write(
      this.json ? `${JSON.stringify(traces)}\n` : `${explainJob(traces).join('\n')}\n`,
    );
    return exitCodes.done;
  }

  /** Collects the traces of peers that ran tasks of the job, which hold its id but not its key. */
  private async collectFromPeers(ownerTraces: readonly DaemonTrace[]): Promise<DaemonTrace[]> {
    const jobIds = new Set(
      ownerTraces.flatMap(({ trace }) => (trace.jobId === null ? [] : [trace.jobId])),
    );
    jobIds.delete(this.job);
    const collected = await Promise.all(
      [...jobIds].map((jobId) => collectTraces(this.operators, this.token, jobId)),
    );
    return collected.flatMap(({ traces }) => traces).filter(({ trace }) => trace.key === null);
  }
}
