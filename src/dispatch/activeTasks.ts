/**
 * The tasks of which some worker of this daemon has a run that is not proved to have ended.
 */
export class ActiveTasks {
  /** Number of runs by name of the task. */
  private readonly runCounts = new Map<string, number>();

  private constructor() {
    // Built by create.
  }

  static create(): ActiveTasks {
    return new ActiveTasks();
  }

  has(taskName: string): boolean {
    return this.runCounts.has(taskName);
  }

  addRun(taskName: string): void {
    this.runCounts.set(taskName, (this.runCounts.get(taskName) ?? 0) + 1);
  }

  removeRun(taskName: string): void {
    const runCount = (this.runCounts.get(taskName) ?? 0) - 1;
    if (runCount > 0) {
      this.runCounts.set(taskName, runCount);
      return;
    }
    this.runCounts.delete(taskName);
  }
}
