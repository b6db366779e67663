/**
 * `toucandyke demo`: runs a whole deployment in one process, under load and with injected faults.
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
import { exitCodes } from '../exitCodes.js';

const secondsPattern = /^\d{1,6}$/;
const daemonsPerFailureDomain = 2;
const messagesPerCall = 2;
const progressPeriodMs = 3_000;

export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    description: 'Runs a whole deployment in one process, under load and with injected faults.',
    examples: [
      ['Run with the Verband example', 'toucandyke demo'],
      ['Run with the Quiosco example', 'toucandyke demo --config examples/quiosco.yaml'],
    ],
  });

  config = Option.String('--config', 'examples/verband.yaml', {
    description: 'Configuration file',
  });
  seconds = Option.String('--seconds', '20', { description: 'Duration of the load in seconds' });

  async execute(): Promise<number> {
    if (!secondsPattern.test(this.seconds)) {
      this.context.stderr.write('--seconds must be a number.\n');
      return exitCodes.invalid;
    }
    const configuration = readYamlFile(this.config, checkConfiguration);
    if (configuration.isErr()) {
      for (const fault of configuration.error) {
        this.context.stderr.write(`${formatFault(this.config, fault)}\n`);
      }
      return exitCodes.invalid;
    }
    return this.runDemo(configuration.value);
  }

  private async runDemo(configuration: Configuration): Promise<number> {
    const clock = SystemClock.create();
    const deployment = await Deployment.create({ clock, configuration, daemonsPerFailureDomain });
    await deployment.waitForQuotas();
    const { fleet } = deployment;
    this.writeLine(
      `${deployment.daemons.length} daemons and ${fleet.endpoints.size} endpoints are up.`,
    );
    const tally = LoadTally.create();
    const stop = new AbortController();
    const random = SystemRandom.create();
    const load = runDemoLoad({
      clock,
      random,
      inventory: fleet.configuration.inventory,
      tally,
      balance: () => chooseDaemonAddress(deployment, random.next()),
      topSpeed,
      signal: stop.signal,
    });
    const progress = this.writeProgress(clock, tally, stop.signal);
    await this.injectFaults(clock, deployment);
    stop.abort();
    await Promise.all([load, progress]);
    const exitCode = this.report(deployment, tally);
    await deployment.close();
    return exitCode;
  }

  /** Kills one daemon after a third of the load, and shuts another down after two thirds. */
  private async injectFaults(clock: SystemClock, deployment: Deployment): Promise<void> {
    const phaseMs = (Number(this.seconds) * 1_000) / 3;
    await clock.sleep(phaseMs);
    const [killed] = deployment.daemons;
    if (killed !== undefined) {
      this.writeLine(`Killing ${killed.vm.vmId}.`);
      await deployment.kill(killed);
    }
    await clock.sleep(phaseMs);
    const stopped = deployment.daemons.at(-1);
    if (stopped !== undefined) {
      this.writeLine(`Shutting down ${stopped.vm.vmId} as planned.`);
      await deployment.stop(stopped);
    }
    await clock.sleep(phaseMs);
  }

  private async writeProgress(
    clock: SystemClock,
    tally: LoadTally,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(progressPeriodMs, signal);
      this.writeLine(`${tally.finished} requests have ended.`);
    }
  }

  private report(deployment: Deployment, tally: LoadTally): number {
    for (const line of tally.formatLines()) {
      this.writeLine(line);
    }
    this.writeLine(`messages per task: ${countMessagesPerTask(deployment).toFixed(2)} (minimum 2)`);
    const { startedTwice } = deployment.fleet.ledger;
    this.writeLine(`started twice: ${startedTwice}; wrong answers: ${tally.wrongAnswers}`);
    const hasKeptGuarantees = startedTwice === 0 && tally.wrongAnswers === 0 && tally.lost === 0;
    this.writeLine(hasKeptGuarantees ? 'All guarantees held.' : 'A guarantee was violated.');
    return hasKeptGuarantees ? 0 : 1;
  }

  private writeLine(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

/** Stands in for a load balancer: chooses any live daemon, or an address where nothing listens. */
const chooseDaemonAddress = ({ daemons }: Deployment, unitRandom: number): string =>
  daemons[Math.floor(unitRandom * daemons.length)]?.process.callers.address ?? '127.0.0.1:1';

/** Counts requests and answers per started task, with endpoints and between daemons, without heartbeats. */
const countMessagesPerTask = ({ fleet, peerMessages }: Deployment): number => {
  const counts = sumMessageCounts([...fleet.endpoints.values()].map((e) => e.messageCounts));
  const { started, busy, cancellations, renewals, cut } = counts;
  const peerCalls = [...peerMessages].filter(([method]) => method !== 'heartbeat');
  const peerCallCount = peerCalls.reduce((sum, [, count]) => sum + count, 0);
  const callCount = started + busy + cancellations + renewals + cut + peerCallCount;
  return (callCount * messagesPerCall) / Math.max(1, started);
};
