/**
 * `toucandyke demo`: a whole deployment in one process, under load and faults.
 */
import { Command, Option } from 'clipanion';
import { SystemClock } from '../../../adapters/system/systemClock.js';
import { SystemRandom } from '../../../adapters/system/systemRandom.js';
import { formatFault, readYamlFile } from '../../../adapters/yaml/readYamlFile.js';
import { checkConfiguration } from '../../../configuration/checkConfiguration.js';
import type { Configuration } from '../../../types/configuration.js';
import { Deployment } from '../../../../standins/deployment.js';
import { sumMessageCounts } from '../../../../standins/messageCounts.js';
import { topSpeed } from '../../../../standins/fleet.js';
import { LoadTally } from '../../../../standins/load/loadTally.js';
import { runDemoLoad } from '../demo/demoLoad.js';

const usageExitCode = 2;
const daemonsPerFailureDomain = 2;
const messagesPerExchange = 2;
const progressPeriodMs = 3_000;

export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    description: 'Runs a whole deployment in one process, under load and faults.',
    examples: [
      ['Run with the Verband example', 'toucandyke demo'],
      ['Run with the Quiosco example', 'toucandyke demo --config examples/quiosco.yaml'],
    ],
  });

  config = Option.String('--config', 'examples/verband.yaml', { description: 'Configuration' });
  seconds = Option.String('--seconds', '20', { description: 'Length of the load in seconds' });

  async execute(): Promise<number> {
    const configuration = readYamlFile(this.config, checkConfiguration);
    if (configuration.isErr()) {
      for (const fault of configuration.error) {
        this.context.stderr.write(`${formatFault(this.config, fault)}\n`);
      }
      return usageExitCode;
    }
    return this.runDemo(configuration.value);
  }

  private async runDemo(configuration: Configuration): Promise<number> {
    const clock = SystemClock.create();
    const deployment = await Deployment.create({ clock, configuration, daemonsPerFailureDomain });
    await deployment.settle();
    const { fleet } = deployment;
    this.say(`${deployment.daemons.length} daemons and ${fleet.endpoints.size} endpoints are up.`);
    const tally = LoadTally.create();
    const stop = new AbortController();
    const random = SystemRandom.create();
    const load = runDemoLoad({
      clock,
      random,
      inventory: fleet.configuration.inventory,
      tally,
      balance: () => chooseAddress(deployment, random.next()),
      topSpeed,
      signal: stop.signal,
    });
    const progress = this.showProgress(clock, tally, stop.signal);
    await this.runFaults(clock, deployment);
    stop.abort();
    await Promise.all([load, progress]);
    const exitCode = this.report(deployment, tally);
    await deployment.close();
    return exitCode;
  }

  private async runFaults(clock: SystemClock, deployment: Deployment): Promise<void> {
    const thirdMs = (Number(this.seconds) * 1_000) / 3;
    await clock.sleep(thirdMs);
    const [killed] = deployment.daemons;
    if (killed !== undefined) {
      this.say(`Killing ${killed.vm.vmId}.`);
      await deployment.kill(killed);
    }
    await clock.sleep(thirdMs);
    const stopped = deployment.daemons.at(-1);
    if (stopped !== undefined) {
      this.say(`Planned stop of ${stopped.vm.vmId}.`);
      await deployment.stop(stopped);
    }
    await clock.sleep(thirdMs);
  }

  private async showProgress(
    clock: SystemClock,
    tally: LoadTally,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(progressPeriodMs, signal);
      this.say(`${tally.finished} requests have ended.`);
    }
  }

  private report(deployment: Deployment, tally: LoadTally): number {
    for (const line of tally.formatLines()) {
      this.say(line);
    }
    this.say(`messages per task: ${countMessagesPerTask(deployment).toFixed(2)} (the least is 2)`);
    const { startedTwice } = deployment.fleet.ledger;
    this.say(`started twice: ${startedTwice}; wrong answers: ${tally.wrongAnswers}`);
    const isKept = startedTwice === 0 && tally.wrongAnswers === 0 && tally.lost === 0;
    this.say(isKept ? 'Every promise was kept.' : 'A promise was broken.');
    return isKept ? 0 : 1;
  }

  private say(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

/** The balancer of the demo: any live daemon. */
const chooseAddress = ({ daemons }: Deployment, unit: number): string =>
  daemons[Math.floor(unit * daemons.length)]?.process.callers.address ?? '127.0.0.1:1';

/** Requests and answers with endpoints and between daemons, heartbeats left out. */
const countMessagesPerTask = ({ fleet, peerMessages }: Deployment): number => {
  const counts = sumMessageCounts([...fleet.endpoints.values()].map((e) => e.messageCounts));
  const { started, busy, cancellations, renewals, cut } = counts;
  const passed = [...peerMessages].filter(([method]) => method !== 'heartbeat');
  const exchanges = passed.reduce((sum, [, count]) => sum + count, 0);
  const all = started + busy + cancellations + renewals + cut + exchanges;
  return (all * messagesPerExchange) / Math.max(1, started);
};
