/**
 * Cancels a job wherever it runs: a caller's cancellation may reach another daemon than the job did. It is
 * passed on to the daemons of the own failure domain, and to one contact in each other one, which passes it
 * on within its domain. Each daemon gets one message, unless it does not answer. Those that are reached only
 * a little later are asked then, such as by a daemon that has just started. No caller is told that a job is
 * unknown while a daemon that may have it has not answered.
 */
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { Clock } from '../ports/clock.js';
import { maxCancellationHops } from '../ports/fleetPeers.js';
import type { CancellationReply, JobCancellationRequest } from '../ports/fleetPeers.js';
import type { CancellationOutcome } from '../ports/jobs.js';
import type { Logger } from '../ports/logger.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import { createDeferred } from '../utils/deferred.js';
import type { Deferred } from '../utils/deferred.js';
import type { FleetPeer } from './fleetPeer.js';
import type { FleetPeers } from './fleetPeers.js';

/** Longest wait for the answer of a daemon that passes nothing on, in milliseconds. */
const neighbourTimeoutMs = 200;
/** Longest wait for the answer of a contact, which waits for the other daemons of its domain. */
const contactTimeoutMs = neighbourTimeoutMs + 100;
/** Longest time until the caller is answered, in milliseconds. */
const maxWaitMs = 500;
/** For how long daemons that are reached only now are asked, in milliseconds: longer than most cuts last. */
const passOnForMs = 10_000;
/** Pause before daemons that are reached only now are asked, in milliseconds; twice as long after each round. */
const firstRoundPauseMs = 100;
const maxRoundPauseMs = 1_000;
/** Contacts of one failure domain that are tried in turn. */
const maxContactsTried = 2;

/**
 * What a recipient answered, for itself and those to which it passes the cancellation on. `incomplete`: it did
 * not answer, or not for all of them.
 */
type Answer = 'found' | 'not-found' | 'incomplete';

/** Daemons of which one is to be told of a cancellation. */
interface Recipient {
  /** Names the daemon, or the failure domain of the contacts. */
  readonly key: string;
  /** The reachable ones, tried in turn until one answers; none are sent anything while they are silent. */
  readonly reachable: readonly FleetPeer[];
  readonly hops: number;
}

/** Daemons that may have a job, by whether they can be asked now. */
interface PossiblePeers {
  readonly reachable: readonly FleetPeer[];
  readonly silent: readonly FleetPeer[];
}

/** A search for the daemon that has a job, among recipients that may change meanwhile. */
interface Search {
  readonly jobId: string;
  /** Returns the daemons that may have the job, as far as they are known now. */
  readonly recipients: () => Recipient[];
  /** Keys of the recipients that have answered for all their daemons. */
  readonly answered: Set<string>;
  /** Resolved as soon as the job is found, or all recipients have answered. */
  readonly outcome: Deferred<CancellationOutcome>;
}

export interface JobCancellationOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly failureDomainId: string;
  readonly jobs: RunningJobs;
  /** Returns the peers; a function, since they are created after this object. */
  readonly peers: () => FleetPeers;
}

export class JobCancellation {
  private readonly stop = new AbortController();

  private constructor(private readonly options: JobCancellationOptions) {}

  static create(options: JobCancellationOptions): JobCancellation {
    return new JobCancellation(options);
  }

  /**
   * Cancels a job for a caller of this daemon. The others hear of it also where the job is found here: a
   * copy of its request may still be on its way to one of them.
   */
  async cancel(jobId: string): Promise<CancellationOutcome> {
    const isHere = this.options.jobs.cancel(jobId);
    const search = createSearch(jobId, () => this.recipients());
    void this.passOn(search);
    return isHere ? 'cancelled' : this.withinTime(search.outcome.promise);
  }

  /**
   * Handles a cancellation that another daemon passes on. The answer waits for one message to each neighbour;
   * those that do not answer it are asked again.
   */
  async receive({ jobId, hops }: JobCancellationRequest): Promise<CancellationReply> {
    const isHere = this.options.jobs.cancel(jobId);
    if (hops === 0) {
      return { wasFound: isHere, isComplete: true };
    }
    const search = createSearch(jobId, () => this.neighbours());
    void this.passOnToNeighbours(search);
    const outcome = isHere ? 'cancelled' : await this.withinTime(search.outcome.promise);
    return { wasFound: outcome === 'cancelled', isComplete: outcome !== 'unconfirmed' };
  }

  /** Ends the search for daemons that are reached only now. */
  close(): void {
    this.stop.abort();
  }

  /** Asks every neighbour once, then those that have not answered. */
  private async passOnToNeighbours(search: Search): Promise<void> {
    const outcome = await this.askRound(search);
    search.outcome.resolve(outcome);
    if (outcome !== 'cancelled') {
      await this.passOn(search);
    }
  }

  /**
   * Asks every recipient until it has answered, for a bounded time or until the job is found. Those that are
   * met only after the others have answered are asked, too.
   */
  private async passOn(search: Search): Promise<void> {
    const { clock, logger } = this.options;
    const { jobId, answered } = search;
    const untilMs = clock.nowMs() + passOnForMs;
    let outcome: CancellationOutcome = 'unconfirmed';
    let pauseMs = firstRoundPauseMs;
    while (outcome !== 'cancelled' && clock.nowMs() < untilMs && !this.stop.signal.aborted) {
      outcome = await this.askRound(search);
      if (outcome !== 'unconfirmed') {
        search.outcome.resolve(outcome);
      }
      await clock.sleep(outcome === 'cancelled' ? 0 : pauseMs, this.stop.signal);
      pauseMs = Math.min(pauseMs * 2, maxRoundPauseMs);
    }
    logger.info('A cancellation was passed on.', { jobId, outcome, count: answered.size });
  }

  /** Asks the recipients that have not answered yet. @returns what is known by all answers */
  private async askRound(search: Search): Promise<CancellationOutcome> {
    const { jobId, recipients, answered } = search;
    const asked = recipients();
    const open = asked.filter(({ key }) => !answered.has(key));
    const answers = open.map(async (recipient) => {
      const answer = await this.ask(recipient, jobId);
      if (answer !== 'incomplete') {
        answered.add(recipient.key);
      }
      if (answer === 'found') {
        search.outcome.resolve('cancelled');
      }
      return answer;
    });
    if ((await Promise.all(answers)).includes('found')) {
      return 'cancelled';
    }
    const haveAllAnswered = asked.every(({ key }) => answered.has(key));
    return haveAllAnswered && this.options.peers().hasListedAll ? 'unknown' : 'unconfirmed';
  }

  /** Asks the daemons of a recipient in turn, until one answers. */
  private async ask({ reachable, hops }: Recipient, jobId: string): Promise<Answer> {
    const timeoutMs = hops === 0 ? neighbourTimeoutMs : contactTimeoutMs;
    for (const { link } of reachable) {
      const reply = await link.cancelJob({ jobId, hops }, timeoutMs);
      if (reply.isOk()) {
        return answerOf(reply.value);
      }
    }
    return 'incomplete';
  }

  private recipients(): Recipient[] {
    return [...this.neighbours(), ...this.contacts()];
  }

  /** @returns the daemons of the own failure domain, each on its own */
  private neighbours(): Recipient[] {
    const { reachable, silent } = this.peersWhere((peer) => this.isNeighbour(peer));
    return [
      ...reachable.map((peer) => ({ key: keyOf(peer), reachable: [peer], hops: 0 })),
      ...silent.map((peer) => ({ key: keyOf(peer), reachable: [], hops: 0 })),
    ];
  }

  /** @returns for each other failure domain some of its daemons */
  private contacts(): Recipient[] {
    const { reachable, silent } = this.peersWhere((peer) => !this.isNeighbour(peer));
    const domains = new Set([...reachable, ...silent].map((peer) => peer.failureDomainId));
    return [...domains].map((domain) => ({
      key: `domain ${domain}`,
      reachable: reachable
        .filter((peer) => peer.failureDomainId === domain)
        .slice(0, maxContactsTried),
      hops: maxCancellationHops,
    }));
  }

  /** @returns the daemons that may have a job */
  private peersWhere(isMeant: (peer: FleetPeer) => boolean): PossiblePeers {
    const peers = this.options.peers();
    return { reachable: peers.reachable().filter(isMeant), silent: peers.silent().filter(isMeant) };
  }

  private isNeighbour({ failureDomainId }: FleetPeer): boolean {
    return failureDomainId === this.options.failureDomainId;
  }

  /** Waits for the outcome within bounded time; answers that arrived while this process stood still are read first. */
  private async withinTime(outcome: Promise<CancellationOutcome>): Promise<CancellationOutcome> {
    const isOver = new AbortController();
    const { clock } = this.options;
    const time = clock
      .sleep(maxWaitMs, isOver.signal)
      .then(() => clock.nextTurn())
      .then(() => 'unconfirmed' as const);
    const result = await Promise.race([outcome, time]);
    abortQuietly(isOver);
    return result;
  }
}

const createSearch = (jobId: string, recipients: () => Recipient[]): Search => ({
  jobId,
  recipients,
  answered: new Set(),
  outcome: createDeferred(),
});

/** Names a process, so that its successor at the address is asked again. */
const keyOf = ({ address, incarnation = '' }: FleetPeer): string =>
  `daemon ${address} ${incarnation}`;

const answerOf = ({ wasFound, isComplete = true }: CancellationReply): Answer => {
  if (wasFound) {
    return 'found';
  }
  return isComplete ? 'not-found' : 'incomplete';
};
