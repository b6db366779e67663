/**
 * Generates the mixed load of the demo: jobs and lookups of paying and trial callers.
 */
import { CallerSession } from '../../../adapters/callerHttp/callerSession.js';
import type { Caller, Inventory } from '../../../types/inventory.js';
import type { Clock } from '../../../ports/clock.js';
import type { Random } from '../../../ports/random.js';
import type { LoadTally } from '../../../../standins/load/loadTally.js';
import {
  computeIdealMs,
  createSubmission,
  matchesSubmission,
} from '../../../../standins/load/submissions.js';

const deadlineMs = 20_000;
const maxTasksPerJob = 30;
const meanPauseMs = 40;
const lookupShare = 0.3;
const sessionsPerCaller = 4;

export interface DemoLoadOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly inventory: Inventory;
  readonly tally: LoadTally;
  /** Returns the address of a daemon, as a load balancer would. */
  readonly balance: () => string;
  /** Speed of the fastest endpoint, relative to the declared run times. */
  readonly topSpeed: number;
  readonly signal: AbortSignal;
}

/**
 * Runs the load until the signal aborts, then waits for the requests in progress.
 *
 * @param options - the callers and daemons of the load, and the tally that records the outcomes
 */
export const runDemoLoad = async (options: DemoLoadOptions): Promise<void> => {
  const sessions = options.inventory.callers.flatMap((caller) =>
    Array.from({ length: sessionsPerCaller }, () => runSession(options, caller)),
  );
  await Promise.all(sessions);
};

const runSession = async (options: DemoLoadOptions, caller: Caller): Promise<void> => {
  const { clock, random, signal, balance } = options;
  const session = CallerSession.create({
    token: `${caller.callerId}-example-token`,
    chooseAddress: balance,
    createKeySuffix: () => random.id(),
  });
  while (!signal.aborted) {
    await runRequest(options, caller, session);
    await clock.sleep(meanPauseMs * random.next() * 2, signal);
  }
  await session.close();
};

const runRequest = async (
  { clock, random, inventory, tally, topSpeed }: DemoLoadOptions,
  caller: Caller,
  session: CallerSession,
): Promise<void> => {
  const isLookup = random.next() < lookupShare;
  const kind = isLookup ? 'repeatable' : 'once';
  const operations = inventory.operations.filter((operation) => operation.kind === kind);
  const submission = createSubmission({
    random,
    operations,
    taskCount: 1 + Math.floor(random.next() ** 3 * maxTasksPerJob),
    deadlineMs,
  });
  const startedAtMs = clock.nowMs();
  const signal = AbortSignal.timeout(deadlineMs * 2);
  const { outcome } = isLookup
    ? await session.lookup(submission, signal)
    : await session.submit(submission, signal);
  const responseMs = clock.nowMs() - startedAtMs;
  const idealMs = computeIdealMs(submission, operations, topSpeed);
  const taskCount = submission.tasks.length;
  tally.record({ callerClass: caller.class, taskCount, outcome, responseMs, idealMs });
  if (!matchesSubmission(outcome, submission)) {
    tally.wrongAnswers += 1;
  }
};
