/**
 * Runs the stand-ins of a deployment as one process: `npm run standins -- CONFIGURATION.yaml [VMS_JSON]`.
 * VMS_JSON is an array with the rows of the VM list.
 */
import { z } from 'zod';
import { SystemClock } from '../src/adapters/system/systemClock.js';
import { formatFault, readYamlFile } from '../src/adapters/yaml/readYamlFile.js';
import { checkConfiguration } from '../src/configuration/checkConfiguration.js';
import { vmRecordSchema } from '../src/ports/vmList.js';
import { Fleet } from './fleet.js';

const logPort = 14_001;
const vmListPort = 14_002;
const usageExitCode = 2;

const vmsSchema = z.array(vmRecordSchema);

const main = async (file: string | undefined, vmsText = '[]'): Promise<void> => {
  if (file === undefined) {
    process.stderr.write('Usage: npm run standins -- CONFIGURATION.yaml [VMS_JSON]\n');
    process.exitCode = usageExitCode;
    return;
  }
  const configuration = readYamlFile(file, checkConfiguration);
  if (configuration.isErr()) {
    for (const fault of configuration.error) {
      process.stderr.write(`${formatFault(file, fault)}\n`);
    }
    process.exitCode = usageExitCode;
    return;
  }
  const fleet = await Fleet.create({
    clock: SystemClock.create(),
    configuration: configuration.value,
    useFreePorts: false,
    logPort,
    vmListPort,
  });
  await fleet.vmList.replace(vmsSchema.parse(JSON.parse(vmsText)));
  process.stdout.write(`Log service on ${fleet.log.address}.\n`);
  process.stdout.write(`VM list on ${fleet.vmList.address}.\n`);
  process.stdout.write(`${fleet.endpoints.size} endpoints.\n`);
  process.once('SIGTERM', () => void fleet.close());
  process.once('SIGINT', () => void fleet.close());
};

await main(process.argv[2], process.argv[3]);
