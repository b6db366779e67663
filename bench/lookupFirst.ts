/**
 * `node --import tsx bench/lookupFirst.ts`: counts answers, repeated starts and messages of resubmissions
 * for three ways to handle them.
 *
 * Each case loses the answer of a job that ran, then resubmits the job through another daemon.
 */
import { Ok } from 'ts-results-es';
import type { Daemon } from '../src/daemon/daemon.js';
import { unreachable } from '../src/errors/unreachable.js';
import type { SubmitOutcome } from '../src/ports/peers.js';
import { DaemonFixture } from '../src/testing/daemonFixture.js';
import { createCaller, createConfiguration, createSubmission } from '../src/testing/fixtures.js';

const caller = createCaller('counter');
const vmIds = ['muenchen-vm1', 'muenchen-vm2'] as const;
const resubmissions = 100;
const configuration = createConfiguration({ workersPerFailureDomain: 8 });

/** How a resubmission is handled. */
type ResubmissionHandling =
  /** As implemented: the daemon looks up the key before any other check. */
  | { readonly kind: 'look-up-first' }
  /** The state of the owner is checked before the look-up. */
  | { readonly kind: 'checks-first' }
  /** No look-up: the caller resubmits under a new key. */
  | { readonly kind: 'no-look-up' };

/** State of the owner when the resubmission comes. */
type OwnerState = 'active' | 'leaving';

/** Counts over all resubmissions of one case. */
interface Tally {
  /** Resubmissions that got the answer of a job. */
  answered: number;
  /** Refusals without a look-up, although the job ran. */
  falseNotRun: number;
  /** Starts of the jobs beyond the first. */
  repeatedStarts: number;
  /** Submissions that were forwarded to the owner. */
  forwards: number;
  /** Records that were appended to the log. */
  appends: number;
}

const resubmit = async (
  handling: ResubmissionHandling,
  daemon: Daemon,
  owner: Daemon,
  key: string,
  input: string,
): Promise<SubmitOutcome | 'refused-without-look-up'> => {
  const body = Ok(createSubmission('fit', [input]));
  switch (handling.kind) {
    case 'look-up-first':
      return daemon.submit(caller, key, body);
    case 'checks-first':
      return owner.isReady() ? daemon.submit(caller, key, body) : 'refused-without-look-up';
    case 'no-look-up':
      return daemon.submit(caller, `${daemon.owner()}~again-${input}`, body);
    default:
      return unreachable(handling);
  }
};

const measure = async (handling: ResubmissionHandling, state: OwnerState): Promise<Tally> => {
  const fixture = await DaemonFixture.create(vmIds, configuration);
  const [owner, other] = [fixture.daemon(vmIds[0]), fixture.daemon(vmIds[1])];
  const tally: Tally = { answered: 0, falseNotRun: 0, repeatedStarts: 0, forwards: 0, appends: 0 };
  const keys = Array.from({ length: resubmissions }, (_, i) => `${owner.owner()}~${i}`);
  for (const [i, key] of keys.entries()) {
    void owner.submit(caller, key, Ok(createSubmission('fit', [`job-${i}`])));
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
    tally.answered += outcome !== 'refused-without-look-up' && outcome.kind === 'answered' ? 1 : 0;
    tally.falseNotRun += outcome === 'refused-without-look-up' ? 1 : 0;
    tally.repeatedStarts += fixture.endpoints.countStarts(`job-${i}`) - 1;
  }
  tally.forwards = fixture.network.forwardCount - forwardsBefore;
  tally.appends = fixture.log.appendCount - appendsBefore;
  await fixture.close();
  return tally;
};

const handlings: readonly ResubmissionHandling[] = [
  { kind: 'look-up-first' },
  { kind: 'checks-first' },
  { kind: 'no-look-up' },
];

process.stdout.write(`${resubmissions} resubmissions of jobs that ran, through another daemon\n`);
for (const state of ['active', 'leaving'] as const) {
  for (const handling of handlings) {
    const { answered, falseNotRun, repeatedStarts, forwards, appends } = await measure(
      handling,
      state,
    );
    process.stdout.write(
      `owner ${state}, ${handling.kind}: answered ${answered}, false not-run ${falseNotRun}, ` +
        `started again ${repeatedStarts}, forwards ${forwards}, appends ${appends}\n`,
    );
  }
}
