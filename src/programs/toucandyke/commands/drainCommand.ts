/**
 * `toucandyke drain`: asks one daemon for a planned stop.
 */
import { Command, Option } from 'clipanion';
import { OperatorHttpClient } from '../../../adapters/operatorHttp/operatorHttpClient.js';
import { exitCodes } from '../exitCodes.js';
import { tokenOption } from '../operatorOptions.js';

export class DrainCommand extends Command {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description: 'Asks a daemon to take nothing new and to finish what it runs.',
    details: `
      The daemon refuses new submissions as not run, and its peers take over its endpoints. Exit
      codes: 0 the daemon is leaving, 1 it gave no such answer.
    `,
    examples: [['Drain one daemon', 'toucandyke drain --operator 10.0.0.1:4102']],
  });

  operator = Option.String('--operator', {
    required: true,
    description: "Address of the daemon's operators' interface",
  });
  token = tokenOption();

  async execute(): Promise<number> {
    const client = OperatorHttpClient.create(this.operator, this.token);
    const reply = await client.drain();
    await client.close();
    if (reply.isErr()) {
      this.context.stderr.write(`The daemon is not known to leave: ${reply.error}\n`);
      return exitCodes.failed;
    }
    this.context.stdout.write(`The daemon at ${this.operator} is leaving.\n`);
    return exitCodes.done;
  }
}
