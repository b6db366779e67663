/**
 * Counts the starts of every task over all endpoints, as evidence for the at-most-once guarantee.
 */
export class StartLedger {
  /** Starts of each task of a `once` operation, by operation and input. */
  private readonly startCounts = new Map<string, number>();
  /** Tasks of other operations that have started, by operation and input. */
  private readonly startedRepeatable = new Set<string>();
  private repeatedCount = 0;

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
   * Counts a start. Tasks are identified by operation and input, not by task id: load generators give
   * every task a unique input, so a task that is submitted again under another id counts as the same.
   */
  record(operationId: string, input: unknown): void {
    const taskKey = JSON.stringify([operationId, input]);
    if (!this.onceOperationIds.has(operationId)) {
      this.repeatedCount += this.startedRepeatable.has(taskKey) ? 1 : 0;
      this.startedRepeatable.add(taskKey);
      return;
    }
    this.startCounts.set(taskKey, (this.startCounts.get(taskKey) ?? 0) + 1);
  }

  /** @returns how often the task of a `once` operation with this input started */
  countStarts(operationId: string, input: unknown): number {
    return this.startCounts.get(JSON.stringify([operationId, input])) ?? 0;
  }

  /** @returns starts of repeatable tasks beyond the first start of each */
  get repeatedLookups(): number {
    return this.repeatedCount;
  }

  /** @returns the number of tasks of `once` operations that started more than once */
  get startedTwice(): number {
    return [...this.startCounts.values()].filter((count) => count > 1).length;
  }
}
