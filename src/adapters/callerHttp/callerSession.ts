/**
 * A caller behind the balancer: stays with one daemon, and goes to another when that one is lost.
 */
import type { Submission } from '../../types/jobs.js';
import { CallerHttpClient } from './callerHttpClient.js';
import type { CallerOutcome } from './callerHttpClient.js';

const maxTries = 4;

/** How a request ended for the caller. */
export interface SessionOutcome {
  readonly outcome: CallerOutcome;
  /** Submissions of the same key after the first. */
  readonly resubmissions: number;
}

export interface CallerSessionOptions {
  readonly token: string;
  /** The balancer: chooses the address of a daemon for a new connection. */
  readonly balance: () => string;
  /** Produces a suffix that no other session uses. */
  readonly createSuffix: () => string;
}

export class CallerSession {
  private client: CallerHttpClient;
  private ownerText: string | undefined;

  private constructor(private readonly options: CallerSessionOptions) {
    this.client = CallerHttpClient.create(options.balance(), options.token);
  }

  static create(options: CallerSessionOptions): CallerSession {
    return new CallerSession(options);
  }

  /**
   * Submits a job, again under the same key after a broken connection, and under a new key where a
   * stopping daemon refused it.
   *
   * @param submission - the job
   * @param signal - gives up
   */
  async submit(submission: Submission, signal: AbortSignal): Promise<SessionOutcome> {
    let resubmissions = 0;
    for (let keys = 1; ; keys += 1) {
      const result = await this.submitUnderNewKey(submission, signal);
      resubmissions += result.resubmissions;
      if (!needsNewOwner(result.outcome) || keys === maxTries) {
        return { outcome: result.outcome, resubmissions };
      }
      await this.reconnect();
    }
  }

  async lookup(submission: Submission, signal: AbortSignal): Promise<SessionOutcome> {
    return this.retry(() => this.client.lookup(submission, signal));
  }

  close(): Promise<void> {
    return this.client.close();
  }

  private async submitUnderNewKey(
    submission: Submission,
    signal: AbortSignal,
  ): Promise<SessionOutcome> {
    const owner = await this.findOwner(signal);
    if (owner === undefined) {
      return { outcome: { kind: 'not-sent' }, resubmissions: 0 };
    }
    const key = `${owner}~${this.options.createSuffix()}`;
    return this.retry(() => this.client.submit(key, submission, signal));
  }

  private async findOwner(signal: AbortSignal): Promise<string | undefined> {
    for (let tries = 0; this.ownerText === undefined && tries < maxTries; tries += 1) {
      this.ownerText = await this.client.owner(signal);
      if (this.ownerText === undefined) {
        await this.reconnect();
      }
    }
    return this.ownerText;
  }

  private async retry(send: () => Promise<CallerOutcome>): Promise<SessionOutcome> {
    for (let resubmissions = 0; ; resubmissions += 1) {
      const outcome = await send();
      if (isAnswer(outcome) || resubmissions === maxTries) {
        return { outcome, resubmissions };
      }
      await this.reconnect();
    }
  }

  private async reconnect(): Promise<void> {
    await this.client.close();
    this.ownerText = undefined;
    this.client = CallerHttpClient.create(this.options.balance(), this.options.token);
  }
}

const isAnswer = (outcome: CallerOutcome): boolean =>
  outcome.kind === 'complete' || outcome.kind === 'failed';

/** The owner of the key starts nothing more, and nothing ran: a new key is safe. */
const needsNewOwner = (outcome: CallerOutcome): boolean =>
  outcome.kind === 'failed' &&
  outcome.runState === 'not-run' &&
  (outcome.errorKind === 'stopping' || outcome.errorKind === 'epoch-closed');
