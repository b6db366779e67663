/**
 * Asks the daemon that holds a job for its end, and answers such questions: for jobs of this daemon, and for those of
 * daemons in other failure domains that the asker does not reach itself.
 */
import type { Result } from 'ts-results-es';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import { maxQuestionHops } from '../ports/fleetPeers.js';
import type { HolderAnswer, JobQuestion } from '../ports/fleetPeers.js';
import type { PeerError } from '../ports/peers.js';
import type { FleetPeer } from './fleetPeer.js';
import type { FleetPeers } from './fleetPeers.js';
import type { HeldClaim } from './heldJobs.js';
import type { HolderEvidence } from './holderEvidence.js';

/** Time for which a holder waits for the end of its job before it answers, in milliseconds. */
const answerWaitMs = 300;
/**
 * Longest time that a question and its answer are under way, in milliseconds, also where the holder is slow; twice that
 * for one that is passed on.
 */
const deliveryMs = 600;

const toEvidence = (reply: Result<HolderAnswer, PeerError>): HolderEvidence =>
  reply.isOk() ? { kind: 'answered', answer: reply.value } : { kind: 'no-answer' };

export interface HolderQuestionsOptions {
  readonly clock: Clock;
  /** Incarnation of this daemon. */
  readonly ownId: string;
  readonly jobs: Pick<RunningJobs, 'answerFor'>;
  /** Time from the last word of a requester by which none of its runs goes on, in milliseconds. */
  readonly confirmationMs: number;
  /** Returns the peers; a function, since they are created after this object. */
  readonly peers: () => Pick<FleetPeers, 'find' | 'findLastHeard'>;
}

export class HolderQuestions {
  private constructor(private readonly options: HolderQuestionsOptions) {}

  static create(options: HolderQuestionsOptions): HolderQuestions {
    return new HolderQuestions(options);
  }

  /** Asks the holder of a job: itself, or through the daemon that has passed its statement on. */
  async ask({ jobId, holder, via }: Omit<HeldClaim, 'untilMs'>): Promise<HolderEvidence> {
    const peers = this.options.peers();
    const peer = peers.findLastHeard(holder);
    const evidence: HolderEvidence =
      peer === undefined
        ? { kind: 'no-answer' }
        : await this.askAt(peer, { jobId, holder, hops: 0, waitMs: answerWaitMs });
    const relay = via === undefined ? undefined : peers.find(via);
    return evidence.kind === 'no-answer' && relay !== undefined
      ? this.askAt(relay, { jobId, holder, hops: maxQuestionHops, waitMs: answerWaitMs })
      : evidence;
  }

  /** Answers a question of another daemon. */
  async answer({ jobId, holder, hops, waitMs }: JobQuestion): Promise<HolderAnswer> {
    const { ownId, jobs, peers } = this.options;
    if (holder === ownId) {
      return jobs.answerFor(jobId, waitMs);
    }
    if (hops === 0) {
      return { kind: 'replaced' };
    }
    const peer = peers().findLastHeard(holder);
    return peer === undefined
      ? { kind: 'unknown' }
      : this.toAnswer(await this.askAt(peer, { jobId, holder, hops: hops - 1, waitMs }));
  }

  private async askAt(peer: FleetPeer, question: JobQuestion): Promise<HolderEvidence> {
    const timeoutMs = question.waitMs + deliveryMs * (question.hops + 1);
    return question.hops === 0
      ? this.askHolder(peer, question, timeoutMs)
      : toEvidence(await peer.link.awaitJob(question, timeoutMs));
  }

  /** Asks the holder itself, at the address where it was heard last. */
  private async askHolder(
    peer: FleetPeer,
    question: JobQuestion,
    timeoutMs: number,
  ): Promise<HolderEvidence> {
    const { clock } = this.options;
    const sent = peer.describeSent(clock.nowMs());
    const reply = await peer.link.awaitJob(question, timeoutMs);
    if (reply.isErr() && reply.error.isNobodyThere === true) {
      peer.recordEnd('refused', sent, clock.nowMs());
    }
    if (reply.isOk() && reply.value.kind === 'replaced') {
      peer.recordEnd('replaced', sent, clock.nowMs());
    }
    if (peer.incarnation !== question.holder) {
      return { kind: 'no-answer' };
    }
    if (reply.isOk() && reply.value.kind !== 'replaced') {
      peer.recordAnswer();
      return toEvidence(reply);
    }
    return peer.end === undefined
      ? { kind: 'no-answer' }
      : { kind: 'gone', latestWordAtMs: peer.end.foundAtMs };
  }

  /** The answer for an asker for which this daemon has asked. */
  private toAnswer(evidence: HolderEvidence): HolderAnswer {
    switch (evidence.kind) {
      case 'answered':
        return evidence.answer;
      case 'gone': {
        const { clock, confirmationMs } = this.options;
        const leftMs = evidence.latestWordAtMs + confirmationMs - clock.nowMs();
        return leftMs > 0 ? { kind: 'may-run', leftMs } : { kind: 'none-runs' };
      }
      case 'no-answer':
        return { kind: 'unknown' };
      default:
        return unreachable(evidence);
    }
  }
}
