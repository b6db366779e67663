/**
 * Limits retries to a share of the first attempts, as a token bucket.
 */

/** Size of the bucket. It starts full, so that a few early failures can be retried. */
const maxRetryTokens = 10;

export class RetryBudget {
  private retryTokens = maxRetryTokens;

  private constructor() {
    // Built by create.
  }

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /**
   * Records the first attempt of a task.
   *
   * @param retryShare - retries allowed per first attempt, between 0 and 1
   */
  recordFirstAttempt(retryShare: number): void {
    this.retryTokens = Math.min(this.retryTokens + retryShare, maxRetryTokens);
  }

  /** Takes the token of one retry; returns false if none is left. */
  tryTakeRetry(): boolean {
    if (this.retryTokens < 1) {
      return false;
    }
    this.retryTokens -= 1;
    return true;
  }
}
