/**
 * Cancels a job wherever it runs: a caller's cancellation may reach another daemon than the job did. It is
 * passed on to the daemons of the own failure domain, and to one contact in each other one, which passes it
 * on within its domain. So each daemon gets one message at most, unless a contact does not answer.
 */
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { Clock } from '../ports/clock.js';
import { maxCancellationHops } from '../ports/fleetPeers.js';
import type { CancellationReply, JobCancellationRequest } from '../ports/fleetPeers.js';
import type { Logger } from '../ports/logger.js';
import { abortQuietly } from '../utils/abortQuietly.js';
import type { FleetPeer } from './fleetPeer.js';
import type { FleetPeers } from './fleetPeers.js';

/** Longest wait for the answer of a daemon that passes nothing on, in milliseconds. */
const neighbourTimeoutMs = 200;
/** Longest wait for the answer of a contact, which waits for the other daemons of its domain. */
const contactTimeoutMs = neighbourTimeoutMs + 100;
/** Longest wait for all answers, in milliseconds. */
const maxWaitMs = 500;
/** Contacts of one failure domain that are tried in turn. */
const maxContactsTried = 2;

export interface JobCancellationOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly failureDomainId: string;
  readonly jobs: RunningJobs;
  /** Returns the peers; a function, since they are created after this object. */
  readonly peers: () => FleetPeers;
}

export class JobCancellation {
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
    const asked = [
      ...this.askNeighbours(jobId),
      ...this.contactsByDomain().map((contacts) => this.askContacts(contacts, jobId)),
    ];
    const wasFound = isHere || (await this.isAnyTrue(asked));
    const outcome = wasFound ? 'found' : 'not-found';
    const count = asked.length;
    this.options.logger.info('A cancellation was passed on.', { jobId, outcome, count });
    return wasFound;
  }

  /** Handles a cancellation that another daemon passes on. */
  async receive({ jobId, hops }: JobCancellationRequest): Promise<CancellationReply> {
    const isHere = this.options.jobs.cancel(jobId);
    const asked = hops > 0 ? this.askNeighbours(jobId) : [];
    return { wasFound: isHere || (await this.isAnyTrue(asked)) };
  }

  /** Asks the reachable daemons of the own failure domain. */
  private askNeighbours(jobId: string): Promise<boolean>[] {
    return this.options
      .peers()
      .reachable()
      .filter((peer) => this.isNeighbour(peer))
      .map(async ({ link }) => {
        const reply = await link.cancelJob({ jobId, hops: 0 }, neighbourTimeoutMs);
        return reply.isOk() && reply.value.wasFound;
      });
  }

  /** Asks contacts of another failure domain in turn, until one answers. */
  private async askContacts(contacts: readonly FleetPeer[], jobId: string): Promise<boolean> {
    for (const { link } of contacts) {
      const reply = await link.cancelJob({ jobId, hops: maxCancellationHops }, contactTimeoutMs);
      if (reply.isOk()) {
        return reply.value.wasFound;
      }
    }
    return false;
  }

  /** @returns some reachable daemons of each other failure domain */
  private contactsByDomain(): FleetPeer[][] {
    const byDomain = new Map<string, FleetPeer[]>();
    for (const peer of this.options.peers().reachable()) {
      const contacts = byDomain.get(peer.failureDomainId) ?? [];
      if (!this.isNeighbour(peer) && contacts.length < maxContactsTried) {
        byDomain.set(peer.failureDomainId, [...contacts, peer]);
      }
    }
    return [...byDomain.values()];
  }

  private isNeighbour({ failureDomainId }: FleetPeer): boolean {
    return failureDomainId === this.options.failureDomainId;
  }

  /** Waits until one answer is true, all are there, or the time is over. */
  private async isAnyTrue(answers: readonly Promise<boolean>[]): Promise<boolean> {
    const isOver = new AbortController();
    const found = new Promise<boolean>((resolve) => {
      answers.forEach((answer) => void answer.then((isTrue) => isTrue && resolve(true)));
    });
    const all = Promise.all(answers).then((values) => values.includes(true));
    const time = this.options.clock.sleep(maxWaitMs, isOver.signal).then(() => false);
    const result = await Promise.race([found, all, time]);
    abortQuietly(isOver);
    return result;
  }
}
