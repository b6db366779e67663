/**
 * `npm run bench:configuration`: measures the processor time that a daemon spends on one change of the
 * configuration at the target's size, and the load of all changes and checkpoints of a day.
 */
import { ConfigurationStore } from '../src/configuration/configurationStore.js';
import { checkEntry, decideEntry } from '../src/configuration/decideEntry.js';
import type { ConfigurationEntry } from '../src/types/configuration.js';
import { chooseOwner } from '../src/membership/rendezvous.js';
import { createRecord } from '../src/testing/fixtures.js';
import { createSizedConfiguration, targetSizes } from './targetConfiguration.js';

const rounds = 20;
const changesPerDay = 270;
const checkpointsPerDay = 144;
const secondsPerDay = 86_400;
const daemonsPerFailureDomain = 12;

const configuration = createSizedConfiguration(targetSizes);
const entryTexts = Array.from({ length: rounds }, (_, i) => {
  const entry: ConfigurationEntry = {
    kind: 'publication',
    record: createRecord(i + 1, structuredClone(configuration)),
  };
  return JSON.stringify(entry);
});
const entryBytes = Buffer.byteLength(entryTexts[0] ?? '');

/** @returns processor time of a function, in milliseconds */
const measureMs = (run: () => void): number => {
  const before = process.cpuUsage();
  run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
};

const store = ConfigurationStore.create();
let parseMs = 0;
let checkMs = 0;
let applyMs = 0;
let assignmentMs = 0;
const members = Array.from({ length: daemonsPerFailureDomain }, (_, i) => ({
  incarnation: `incarnation-${i}`,
  weight: 1,
}));
for (const text of entryTexts) {
  let value: unknown;
  parseMs += measureMs(() => {
    value = JSON.parse(text) as unknown;
  });
  let checked = checkEntry(undefined);
  checkMs += measureMs(() => {
    checked = checkEntry(value);
  });
  const decision = decideEntry(store.current?.record, checked);
  if (decision.kind !== 'replaces') {
    throw new Error('The record does not replace the current configuration.');
  }
  applyMs += measureMs(() => {
    store.apply(decision.record);
  });
  assignmentMs += measureMs(() => {
    const endpoints = store.current?.inventory.endpointsOf('domain0') ?? [];
    endpoints.forEach(({ endpoint }) => chooseOwner(endpoint.endpointId, members));
  });
}

const totalMs = (parseMs + checkMs + applyMs + assignmentMs) / rounds;
const perDay = changesPerDay + checkpointsPerDay;
const printLine = (line: string): void => void process.stdout.write(`${line}\n`);
printLine(`${configuration.inventory.workers.length} workers: a record has ${entryBytes} bytes`);
printLine(
  `for each record: JSON ${(parseMs / rounds).toFixed(1)} ms, checks ${(checkMs / rounds).toFixed(1)} ms, ` +
    `lookups ${(applyMs / rounds).toFixed(1)} ms, dispatchers ${(assignmentMs / rounds).toFixed(1)} ms`,
);
printLine(
  `${changesPerDay} changes and ${checkpointsPerDay} checkpoints a day: ` +
    `${((perDay * entryBytes) / secondsPerDay / 1_000).toFixed(2)} KB/s and ` +
    `${((perDay * totalMs) / secondsPerDay / 10).toFixed(4)} % of a core on average`,
);
