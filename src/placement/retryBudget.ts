/**
 * Limits retries and hedges to a share of the first tries.
 */

/** Tries that may be saved up, so that a few early failures can be retried. */
const maxSavedTries = 10;

export class RetryBudget {
  private savedTries = maxSavedTries;

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
  firstTry(share: number): void {
    this.savedTries = Math.min(this.savedTries + share, maxSavedTries);
  }

  /** Takes one retry, if the budget has one. */
  take(): boolean {
    if (this.savedTries < 1) {
      return false;
    }
    this.savedTries -= 1;
    return true;
  }
}
