/**
 * `npm run crowds`: sends large crowds of misbehaving clients to a daemon with the default limits and the heap of the
 * deployment, one after the other, and prints what each took. Exits with an error if the daemon ended, if it needed more than
 * the memory of the smallest VM, or if it did not complete an ordinary request.
 */
import { ClientCrowd } from './clientCrowd.js';
import type { CrowdOptions } from './clientCrowd.js';
import { CrowdTarget } from './crowdTarget.js';

const heapMb = 200;
/** Memory of the smallest VM. */
const maxResidentBytes = 210_000_000;

/** Crowds that fit into the default limit on connections. */
const crowds: readonly CrowdOptions[] = [
  {
    clients: 1_500,
    loads: [{ kind: 'pipelined', shape: 'without-host', requests: 3_000 }],
    reconnects: true,
  },
  {
    clients: 2_900,
    loads: [{ kind: 'unfinished-body', body: { chunks: 40_000, chunkBytes: 1, hasRoute: true } }],
  },
  { clients: 100, loads: [{ kind: 'pipelined', shape: 'invalid-job', requests: 1_500 }] },
  { clients: 2_900, loads: [{ kind: 'pipelined', shape: 'job', requests: 8 }] },
];

/** @returns whether the daemon stayed within its bounds */
const runCrowd = async (options: CrowdOptions): Promise<boolean> => {
  const target = await CrowdTarget.create({ heapMb, clientLimits: {} });
  try {
    const crowd = await ClientCrowd.send(target.address, options);
    const isServedBeside = await target.serveOrdinary(1);
    crowd.close();
    const isServedAfter = await target.serveOrdinary(2);
    const { peak, crashes } = target;
    const seen = { ...options, ...peak, crashes, isServedBeside, isServedAfter };
    process.stdout.write(`${JSON.stringify(seen)}\n`);
    const isServed = isServedBeside && isServedAfter;
    return isServed && crashes.length === 0 && peak.residentBytes <= maxResidentBytes;
  } finally {
    await target.close();
  }
};

for (const options of crowds) {
  if (!(await runCrowd(options))) {
    process.exitCode = 1;
  }
}
