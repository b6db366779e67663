/**
 * `toucandyke drain`: asks one daemon to drain before a planned shutdown.
 */
import { Command, Option } from 'clipanion';
import { OperatorHttpClient } from '../../../adapters/operatorHttp/operatorHttpClient.js';
import { exitCodes } from '../exitCodes.js';
import { tokenOption } from '../operatorOptions.js';

export class DrainCommand extends Command {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description: 'Asks a daemon to accept no new submissions and to finish the jobs that run.',
    details: `
      The daemon refuses new submissions as not run, and its peers take over its endpoints. Exit
      codes: 0 the daemon is leaving, 1 the daemon did not confirm it.
    `,
    examples: [['Drain one daemon', 'toucandyke drain --operator 10.0.0.1:4102']],
  });

  operator = Option.String('--operator', {
    required: true,
    description: 'Address of the operator interface of the daemon',
  });
  token = tokenOption();

  async execute(): Promise<number> {
    const client = OperatorHttpClient.create(this.operator, this.token);
    const reply = await client.drain();
    await client.close();
    if (reply.isErr()) {
      this.context.stderr.write(`The daemon did not confirm that it is leaving: ${reply.error}\n`);
      return exitCodes.failed;
    }
    this.context.stdout.write(`The daemon at ${this.operator} is leaving.\n`);
    return exitCodes.done;
  }
}
