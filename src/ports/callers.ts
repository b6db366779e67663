/** Inbound port of the front ends that serve callers. */
import type { Result } from 'ts-results-es';
import type { Problem } from '../errors/problem.js';
import type { Caller } from '../types/inventory.js';
import type { Submission } from '../types/jobs.js';
import type { JobStatus, SubmitOutcome } from './peers.js';

export type { JobStatus } from './peers.js';

export interface CallerService {
  /**
   * Finds the caller that a bearer token belongs to.
   *
   * @param tokenSha256 - SHA-256 of the token, in lower-case hexadecimal
   * @returns the caller, or nothing if the configuration in force has none with this token
   */
  authenticate(tokenSha256: string): Caller | undefined;
  /** @returns the owner part of new submission keys: this daemon process and its current epoch */
  owner(): string;
  /** @returns whether the daemon accepts new submissions */
  isReady(): boolean;
  /**
   * Submits a job, or attaches to the one that runs under the same key, and waits for its answer.
   *
   * @param caller - the caller that submits
   * @param keyText - the submission key as received, not yet parsed
   * @param body - the submission, or why it is not valid
   */
  submit(
    caller: Caller,
    keyText: string,
    body: Result<Submission, Problem>,
  ): Promise<SubmitOutcome>;
  /**
   * Returns the status of a job, at the latest after a wait for its answer.
   *
   * @param waitMs - longest wait in milliseconds
   */
  status(caller: Caller, keyText: string, waitMs: number): Promise<Result<JobStatus, Problem>>;
  /**
   * Cancels a job: its waiting tasks never start, its running ones are stopped.
   */
  cancel(caller: Caller, keyText: string): Promise<Result<JobStatus, Problem>>;
  /**
   * Runs repeatable operations and waits for the answer. There is no key, so nothing is remembered.
   */
  lookup(caller: Caller, body: Result<Submission, Problem>): Promise<SubmitOutcome>;
}
