/**
 * Limits retries and hedges to a share of the first tries.
 */

/** Tries that may be saved up, so that a few early failures can be retried. */
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
   * Notes a first try.
   *
   * @param share - retries allowed per first try, between 0 and 1
   */
  recordFirstAttempt(share: number): void {
    this.retryTokens = Math.min(this.retryTokens + share, maxRetryTokens);
  }

  /** Takes one retry, if the budget has one. */
  tryTakeRetry(): boolean {
    if (this.retryTokens < 1) {
      return false;
    }
    this.retryTokens -= 1;
    return true;
  }
}
