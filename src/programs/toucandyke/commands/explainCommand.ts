/**
 * `toucandyke explain`: the course of a job, from what all daemons remember of it.
 */
import { Command, Option } from 'clipanion';
import { explainJob } from '../../../explain/explainJob.js';
import type { DaemonTrace } from '../../../explain/explainJob.js';
import { exitCodes } from '../exitCodes.js';
import { collectTraces } from '../operatorAccess.js';
import { operatorsOption, tokenOption } from '../operatorOptions.js';

export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Tells when a job came, what was decided, and where each task ran.',
    details: `
      Asks every daemon given. The memory of a daemon ends with its process and is bounded; the
      oldest jobs go first. Exit codes: 0 explained, 1 no daemon remembers the job.
    `,
    examples: [
      [
        'Explain a job by its key',
        'toucandyke explain 4f1c.1~order-1 --operators 10.0.0.1:4102,10.0.0.2:4102',
      ],
    ],
  });

  job = Option.String();
  operators = operatorsOption();
  token = tokenOption();
  json = Option.Boolean('--json', false, { description: 'Print the events as JSON' });

  async execute(): Promise<number> {
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
