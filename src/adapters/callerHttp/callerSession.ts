/**
 * A caller behind a load balancer: stays connected to one daemon, and reconnects through the balancer
 * when that daemon stops or the connection breaks.
 */
import type { Submission } from '../../types/jobs.js';
import { CallerHttpClient } from './callerHttpClient.js';
import type { CallerOutcome } from './callerHttpClient.js';

const maxAttempts = 4;

/** Final outcome of a request. */
export interface SessionOutcome {
  readonly outcome: CallerOutcome;
  /** Number of times the request was sent again, under the same key, after the first. */
  readonly resubmissions: number;
}

export interface CallerSessionOptions {
  readonly token: string;
  /** Load balancer: returns the address of a daemon, as `IP:port`, for a new connection. */
  readonly chooseAddress: () => string;
  /** Creates a key suffix that is unique among all sessions. */
  readonly createKeySuffix: () => string;
}

export class CallerSession {
  private client: CallerHttpClient;
  private keyOwner: string | undefined;

  private constructor(private readonly options: CallerSessionOptions) {
    this.client = CallerHttpClient.create(options.chooseAddress(), options.token);
  }

  static create(options: CallerSessionOptions): CallerSession {
    return new CallerSession(options);
  }

  /**
   * Submits a job. After a broken connection it is resubmitted under the same key; where a stopping
   * daemon refused it, it is submitted under a new key.
   *
   * @param submission - the job
   * @param signal - aborts the requests
   */
  async submit(submission: Submission, signal: AbortSignal): Promise<SessionOutcome> {
    let resubmissions = 0;
    for (let keyAttempts = 1; ; keyAttempts += 1) {
      const result = await this.submitWithNewKey(submission, signal);
      resubmissions += result.resubmissions;
      if (!needsNewOwner(result.outcome) || keyAttempts === maxAttempts) {
        return { outcome: result.outcome, resubmissions };
      }
      await this.reconnect();
    }
  }

  /** Runs repeatable operations; retries after a broken connection. */
  async lookup(submission: Submission, signal: AbortSignal): Promise<SessionOutcome> {
    return this.retry(() => this.client.lookup(submission, signal));
  }

  close(): Promise<void> {
    return this.client.close();
  }

  /** Submits a job under a new key of the current owner, and again after a broken connection. */
  private async submitWithNewKey(
    submission: Submission,
    signal: AbortSignal,
  ): Promise<SessionOutcome> {
    const owner = await this.findOwner(signal);
    if (owner === undefined) {
      return { outcome: { kind: 'not-sent' }, resubmissions: 0 };
    }
    const key = `${owner}~${this.options.createKeySuffix()}`;
    return this.retry(() => this.client.submit(key, submission, signal));
  }

  /** Asks daemons for the owner of new keys until one responds; undefined after the last attempt. */
  private async findOwner(signal: AbortSignal): Promise<string | undefined> {
    for (let attempts = 0; this.keyOwner === undefined && attempts < maxAttempts; attempts += 1) {
      this.keyOwner = await this.client.owner(signal);
      if (this.keyOwner === undefined) {
        await this.reconnect();
      }
    }
    return this.keyOwner;
  }

  private async retry(send: () => Promise<CallerOutcome>): Promise<SessionOutcome> {
    for (let resubmissions = 0; ; resubmissions += 1) {
      const outcome = await send();
      if (hasAnswer(outcome) || resubmissions === maxAttempts) {
        return { outcome, resubmissions };
      }
      await this.reconnect();
    }
  }

  private async reconnect(): Promise<void> {
    await this.client.close();
    this.keyOwner = undefined;
    this.client = CallerHttpClient.create(this.options.chooseAddress(), this.options.token);
  }
}

const hasAnswer = (outcome: CallerOutcome): boolean =>
  outcome.kind === 'complete' || outcome.kind === 'failed';

/** Whether the owner of the key starts no more jobs and nothing ran, so that a new key is safe. */
const needsNewOwner = (outcome: CallerOutcome): boolean =>
  outcome.kind === 'failed' &&
  outcome.runState === 'not-run' &&
  (outcome.errorKind === 'stopping' || outcome.errorKind === 'epoch-closed');
