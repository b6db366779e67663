/**
 * `toucandyke status`: shows daemons with their versions, and endpoints with their dispatchers.
 */
import { Command, Option } from 'clipanion';
import type { Heartbeat } from '../../../types/membership.js';
import type { DaemonStatus } from '../../../ports/operators.js';
import { exitCodes } from '../exitCodes.js';
import { fetchStatus } from '../operatorQueries.js';
import { formatTable } from '../output/formatTable.js';
import { operatorsOption, tokenOption } from '../operatorOptions.js';

export class StatusCommand extends Command {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Shows all daemons, and the endpoints of one failure domain.',
    details: `
      Asks the daemons in turn until one answers. The answer lists that daemon, its peers, reachable
      or not, and the endpoints of its failure domain. Exit codes: 0 shown, 1 no daemon answered.
    `,
    examples: [
      ['Show as tables', 'toucandyke status --operators 10.0.0.1:4102,10.0.0.2:4102'],
      ['Show as JSON', 'toucandyke status --operators 10.0.0.1:4102 --json'],
    ],
  });

  operators = operatorsOption();
  token = tokenOption();
  json = Option.Boolean('--json', false, { description: 'Print the status as JSON' });

  async execute(): Promise<number> {
    const status = await fetchStatus(this.operators, this.token);
    if (status.isErr()) {
      this.context.stderr.write(`No daemon answered: ${status.error}\n`);
      return exitCodes.failed;
    }
    this.context.stdout.write(
      this.json ? `${JSON.stringify(status.value)}\n` : formatStatus(status.value),
    );
    return exitCodes.done;
  }
}

const daemonHeader = [
  'VM',
  'FAILURE DOMAIN',
  'INCARNATION',
  'STATE',
  'VERSION',
  'FREE SLOTS',
  'WAITING',
];

const formatStatus = ({ own, peers, unheardVmIds, endpoints }: DaemonStatus): string => {
  const reachable = [own, ...peers].sort((a, b) => (a.vmId < b.vmId ? -1 : 1));
  const unreachable = unheardVmIds.map((vmId) => [vmId, '-', '-', 'not heard', '-', '-', '-']);
  const daemons = formatTable(daemonHeader, [...reachable.map(toDaemonCells), ...unreachable]);
  const endpointRows = endpoints.map(({ endpointId, state, dispatcher }) => [
    endpointId,
    state,
    dispatcher ?? '-',
  ]);
  const title = `\nEndpoints of ${own.failureDomainId}, as reported by ${own.vmId}:\n`;
  return `${daemons}${title}${formatTable(['ENDPOINT', 'STATE', 'DISPATCHER'], endpointRows)}`;
};

const toDaemonCells = (daemon: Heartbeat): string[] => [
  daemon.vmId,
  daemon.failureDomainId,
  daemon.incarnation,
  daemon.state,
  String(daemon.configurationVersion),
  String(daemon.freeSlots),
  String(daemon.waitingTasks),
];
