/** Inbound port: what the front ends ask on behalf of callers. */
import type { Result } from 'ts-results-es';
import type { Problem } from '../errors/problem.js';
import type { Caller } from '../types/inventory.js';
import type { Submission } from '../types/jobs.js';
import type { JobStatus, SubmitOutcome } from './peers.js';

export type { JobStatus } from './peers.js';

export interface CallerService {
  /**
   * Finds the caller of a bearer token.
   *
   * @param tokenSha256 - SHA-256 of the token, in lower-case hexadecimal
   */
  authenticate(tokenSha256: string): Caller | undefined;
  /** @returns the owner part that new keys should carry */
  owner(): string;
  /** @returns whether the daemon takes new submissions */
  isReady(): boolean;
  /**
   * Submits a job, or attaches to the one that runs under the same key, and waits for its answer.
   *
   * @param caller - who submits
   * @param keyText - the submission key, unchecked
   * @param body - the checked submission, or why it is not valid
   */
  submit(
    caller: Caller,
    keyText: string,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome>;
  /**
   * Tells what is known of a job, after waiting for its answer up to a bound.
   */
  status(caller: Caller, keyText: string, waitMs: number): Promise<Result<JobStatus, Problem>>;
  /**
   * Cancels a job: waiting tasks never start, running ones are stopped.
   */
  cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>>;
  /**
   * Runs repeatable operations, without a key.
   */
  lookup(caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome>;
}
