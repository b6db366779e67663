/**
 * Cancels a job wherever it runs: a caller's cancellation may reach another daemon than the job did. It is
 * passed on to the daemons of the own failure domain, and to one contact in each other one, which passes it
 * on within its domain. Each daemon gets one message, unless it does not answer. Those that are reached only
 * a little later are asked then, such as by a daemon that has just started.
 */
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { Clock } from '../ports/clock.js';
import { maxCancellationHops } from '../ports/fleetPeers.js';
import type { CancellationReply, JobCancellationRequest } from '../ports/fleetPeers.js';
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

/** What a recipient answered. `none`: it did not answer. */
type Answer = 'found' | 'not-found' | 'none';

/** Daemons of which one is to be told of a cancellation. */
interface Recipient {
  /** Names the daemon, or the failure domain of the contacts. */
  readonly key: string;
  /** Tried in turn until one answers. */
  readonly peers: readonly FleetPeer[];
  readonly hops: number;
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
   *
   * @returns whether a daemon had the job; false also if the one that has it did not answer in time
   */
  async cancel(jobId: string): Promise<boolean> {
    const isHere = this.options.jobs.cancel(jobId);
    const found = createDeferred<boolean>();
    void this.passOn(jobId, () => this.recipients(), new Set(), found);
    return isHere || this.withinTime(found.promise);
  }

  /**
   * Handles a cancellation that another daemon passes on. The answer waits for one message to each neighbour;
   * those that do not answer it are asked again.
   */
  async receive({ jobId, hops }: JobCancellationRequest): Promise<CancellationReply> {
    const isHere = this.options.jobs.cancel(jobId);
    if (hops === 0) {
      return { wasFound: isHere };
    }
    const found = createDeferred<boolean>();
    void this.passOnToNeighbours(jobId, found);
    return { wasFound: isHere || (await this.withinTime(found.promise)) };
  }

  /** Ends the search for daemons that are reached only now. */
  close(): void {
    this.stop.abort();
  }

  /** Asks every neighbour once, then those that have not answered. */
  private async passOnToNeighbours(jobId: string, found: Deferred<boolean>): Promise<void> {
    const answered = new Set<string>();
    const wasFound = await this.askRound(jobId, this.neighbours(), answered, found);
    found.resolve(wasFound);
    if (!wasFound) {
      await this.passOn(jobId, () => this.neighbours(), answered, found);
    }
  }

  /**
   * Asks every recipient until it has answered, for a bounded time or until the job is found.
   *
   * @param recipients - returns those that are reachable now
   * @param answered - keys of those that have answered; more are added
   * @param found - resolved as soon as the job is found, or all that are reachable have answered
   */
  private async passOn(
    jobId: string,
    recipients: () => Recipient[],
    answered: Set<string>,
    found: Deferred<boolean>,
  ): Promise<void> {
    const { clock, logger } = this.options;
    const untilMs = clock.nowMs() + passOnForMs;
    let wasFound = false;
    let pauseMs = firstRoundPauseMs;
    while (!wasFound && clock.nowMs() < untilMs && !this.stop.signal.aborted) {
      const asked = recipients();
      wasFound = await this.askRound(jobId, asked, answered, found);
      if (asked.length > 0 && asked.every(({ key }) => answered.has(key))) {
        found.resolve(wasFound);
      }
      await clock.sleep(wasFound ? 0 : pauseMs, this.stop.signal);
      pauseMs = Math.min(pauseMs * 2, maxRoundPauseMs);
    }
    found.resolve(wasFound);
    const outcome = wasFound ? 'found' : 'not-found';
    logger.info('A cancellation was passed on.', { jobId, outcome, count: answered.size });
  }

  /** Asks the recipients that have not answered yet. @returns whether one of them had the job */
  private async askRound(
    jobId: string,
    recipients: readonly Recipient[],
    answered: Set<string>,
    found: Deferred<boolean>,
  ): Promise<boolean> {
    const open = recipients.filter(({ key }) => !answered.has(key));
    const answers = open.map(async (recipient) => {
      const answer = await this.ask(recipient, jobId);
      if (answer !== 'none') {
        answered.add(recipient.key);
      }
      if (answer === 'found') {
        found.resolve(true);
      }
      return answer;
    });
    return (await Promise.all(answers)).includes('found');
  }

  /** Asks the daemons of a recipient in turn, until one answers. */
  private async ask({ peers, hops }: Recipient, jobId: string): Promise<Answer> {
    const timeoutMs = hops === 0 ? neighbourTimeoutMs : contactTimeoutMs;
    let answer: Answer = 'none';
    for (const { link } of peers) {
      const reply = await link.cancelJob({ jobId, hops }, timeoutMs);
      if (reply.isOk()) {
        return reply.value.wasFound ? 'found' : 'not-found';
      }
      // A daemon of an earlier version refuses the call, and is not asked again.
      answer = reply.error.kind === 'refused' ? 'not-found' : answer;
    }
    return answer;
  }

  private recipients(): Recipient[] {
    const contacts = this.contactsByDomain();
    const remote = [...contacts].map(([domain, peers]) => ({
      key: `domain ${domain}`,
      peers,
      hops: maxCancellationHops,
    }));
    return [...this.neighbours(), ...remote];
  }

  /** @returns the reachable daemons of the own failure domain */
  private neighbours(): Recipient[] {
    const reachable = this.options.peers().reachable();
    return reachable
      .filter((peer) => this.isNeighbour(peer))
      .map((peer) => ({ key: `daemon ${peer.incarnation}`, peers: [peer], hops: 0 }));
  }

  /** @returns some reachable daemons of each other failure domain */
  private contactsByDomain(): Map<string, FleetPeer[]> {
    const byDomain = new Map<string, FleetPeer[]>();
    for (const peer of this.options.peers().reachable()) {
      const contacts = byDomain.get(peer.failureDomainId) ?? [];
      if (!this.isNeighbour(peer) && contacts.length < maxContactsTried) {
        byDomain.set(peer.failureDomainId, [...contacts, peer]);
      }
    }
    return byDomain;
  }

  private isNeighbour({ failureDomainId }: FleetPeer): boolean {
    return failureDomainId === this.options.failureDomainId;
  }

  private async withinTime(found: Promise<boolean>): Promise<boolean> {
    const isOver = new AbortController();
    const time = this.options.clock.sleep(maxWaitMs, isOver.signal).then(() => false);
    const result = await Promise.race([found, time]);
    abortQuietly(isOver);
    return result;
  }
}
