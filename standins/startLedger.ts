/**
 * Counts the starts of every task that must run at most once, over all endpoints.
 */
export class StartLedger {
  private readonly starts = new Map<string, number>();
  private readonly repeatableWork = new Set<string>();
  private repeated = 0;

  private constructor(private readonly onceOperationIds: ReadonlySet<string>) {}

  /**
   * Creates an empty ledger.
   *
   * @param onceOperationIds - operations whose tasks must start at most once
   */
  static create(onceOperationIds: Iterable<string>): StartLedger {
    return new StartLedger(new Set(onceOperationIds));
  }

  /**
   * Counts a start. Load generators number their inputs, so that a task which was submitted again
   * under another task id counts as the same work.
   *
   * @param operationId - the operation
   * @param input - the task's input
   */
  record(operationId: string, input: unknown): void {
    const work = JSON.stringify([operationId, input]);
    if (!this.onceOperationIds.has(operationId)) {
      this.repeated += this.repeatableWork.has(work) ? 1 : 0;
      this.repeatableWork.add(work);
      return;
    }
    this.starts.set(work, (this.starts.get(work) ?? 0) + 1);
  }

  /** @returns how often this work started */
  startsOf(operationId: string, input: unknown): number {
    return this.starts.get(JSON.stringify([operationId, input])) ?? 0;
  }

  /** @returns starts of repeatable work beyond the first */
  get repeatedLookups(): number {
    return this.repeated;
  }

  /** @returns how much work started more than once */
  get startedTwice(): number {
    return [...this.starts.values()].filter((count) => count > 1).length;
  }
}
