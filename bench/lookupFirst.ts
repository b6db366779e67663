/**
 * Counts what a resubmission costs, with the look-up before every check and without it.
 *
 * Each case loses the answer of a job that ran, then resubmits through another daemon. Run it by
 * `node --import tsx bench/lookupFirst.ts`.
 */
import { Ok } from 'ts-results-es';
import type { Daemon } from '../src/daemon/daemon.js';
import { unreachable } from '../src/errors/unreachable.js';
import type { SubmitOutcome } from '../src/ports/peers.js';
import { DaemonFixture } from '../src/testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../src/testing/fixtures.js';

const counter = createCaller('counter');
const vmIds = ['muenchen-vm1', 'muenchen-vm2'] as const;
const resubmissions = 100;
const configuration = createConfiguration({ workersPerFailureDomain: 8 });

/** What a daemon does with a resubmission. */
type Handling =
  /** As it is: the look-up goes before every other check. */
  | { readonly kind: 'look-up-first' }
  /** The daemon's own state is checked before the look-up. */
  | { readonly kind: 'checks-first' }
  /** No look-up: the caller retries under a new key. */
  | { readonly kind: 'no-look-up' };

/** State of the owner when the resubmission comes. */
type OwnerState = 'active' | 'leaving';

interface Tally {
  answered: number;
  falseNotRun: number;
  startsAgain: number;
  forwards: number;
  appends: number;
}

const resubmit = async (
  handling: Handling,
  daemon: Daemon,
  owner: Daemon,
  key: string,
  input: string,
): Promise<SubmitOutcome | 'refused-unseen'> => {
  const body = Ok(createSubmission('fit', [input]));
  switch (handling.kind) {
    case 'look-up-first':
      return daemon.submit(counter, key, body);
    case 'checks-first':
      return owner.isReady() ? daemon.submit(counter, key, body) : 'refused-unseen';
    case 'no-look-up':
      return daemon.submit(counter, `${daemon.owner()}~again-${input}`, body);
    default:
      return unreachable(handling);
  }
};

const measure = async (handling: Handling, state: OwnerState): Promise<Tally> => {
  const fixture = await DaemonFixture.create(vmIds, configuration);
  const [owner, other] = [fixture.daemon(vmIds[0]), fixture.daemon(vmIds[1])];
  const tally: Tally = { answered: 0, falseNotRun: 0, startsAgain: 0, forwards: 0, appends: 0 };
  const keys = Array.from({ length: resubmissions }, (_, i) => `${owner.owner()}~${i}`);
  for (const [i, key] of keys.entries()) {
    void owner.submit(counter, key, Ok(createSubmission('fit', [`job-${i}`])));
    await fixture.clock.advance(200);
  }
  if (state === 'leaving') {
    owner.drain();
  }
  const [forwardsBefore, appendsBefore] = [fixture.network.forwardCount, fixture.log.appendCount];
  for (const [i, key] of keys.entries()) {
    const pending = resubmit(handling, other, owner, key, `job-${i}`);
    await fixture.clock.advance(200);
    const outcome = await pending;
    tally.answered += outcome !== 'refused-unseen' && outcome.kind === 'answered' ? 1 : 0;
    tally.falseNotRun += outcome === 'refused-unseen' ? 1 : 0;
    tally.startsAgain += fixture.endpoints.startsOf(`job-${i}`) - 1;
  }
  tally.forwards = fixture.network.forwardCount - forwardsBefore;
  tally.appends = fixture.log.appendCount - appendsBefore;
  await fixture.close();
  return tally;
};

const handlings: readonly Handling[] = [
  { kind: 'look-up-first' },
  { kind: 'checks-first' },
  { kind: 'no-look-up' },
];

process.stdout.write(`${resubmissions} resubmissions of jobs that ran, through another daemon\n`);
for (const state of ['active', 'leaving'] as const) {
  for (const handling of handlings) {
    const { answered, falseNotRun, startsAgain, forwards, appends } = await measure(
      handling,
      state,
    );
    process.stdout.write(
      `owner ${state}, ${handling.kind}: answered ${answered}, false not-run ${falseNotRun}, ` +
        `started again ${startsAgain}, forwards ${forwards}, appends ${appends}\n`,
    );
  }
}
