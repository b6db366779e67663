/**
 * Which of many held jobs a heartbeat states. A process that has heard of a job once knows by when its runs have ended, so
 * what it was told least of comes first; what room is left goes to what it was told longest ago, since heartbeats are lost.
 */

/** Limits of what one heartbeat states. */
export interface StatementLimits {
  /** Statements of a job that come before all repeated ones, to each process. */
  readonly minStatements: number;
  /** Jobs in one heartbeat whose statements come before all repeated ones. */
  readonly maxDue: number;
  /** Jobs in one heartbeat where fewer of them are due. */
  readonly maxRepeated: number;
}

/** A job that can be stated. */
export interface Statable {
  /** Unique among the jobs that one daemon states. */
  readonly key: string;
  readonly jobId: string;
  readonly holder: string;
  /** Time by which no run of it goes on, in monotonic time. */
  readonly untilMs: number;
}

/** What a process was told of a job. */
interface Told {
  readonly untilMs: number;
  readonly count: number;
}

/** By key; what the process was told longest ago is at the beginning. */
type ToldJobs = Map<string, Told>;

/** A job held for this much longer than was told counts as not told, in milliseconds; times are rounded on their way. */
const minExtensionMs = 50;

export class StatementTurns {
  /** By incarnation. */
  private readonly toldByProcess = new Map<string, ToldJobs>();

  private constructor(private readonly limits: StatementLimits) {}

  static create(limits: StatementLimits): StatementTurns {
    return new StatementTurns(limits);
  }

  /**
   * Chooses the jobs of which a process is told now, and records that it was.
   *
   * @param process - its incarnation; undefined for a process that may hear nothing, of which nothing is remembered
   * @param jobs - all jobs that can be stated, each once, those that matter first at the beginning
   */
  choose<T extends Statable>(process: string | undefined, jobs: readonly T[]): T[] {
    const told = this.toldTo(process);
    const due = this.listDue(told, jobs);
    const room = this.limits.maxRepeated - due.length;
    const chosen = room > 0 ? [...due, ...listLongestAgo(told, jobs, due, room)] : due;
    for (const job of chosen) {
      const { key, untilMs } = job;
      const count = countOf(told, job) + 1;
      told.delete(key);
      told.set(key, { untilMs, count });
    }
    removeClosed(told, jobs);
    return chosen;
  }

  /** Forgets what a process was told, of which it may have heard nothing; all is stated to it again. */
  forget(process: string): void {
    this.toldByProcess.delete(process);
  }

  private toldTo(process: string | undefined): ToldJobs {
    const known = process === undefined ? undefined : this.toldByProcess.get(process);
    const told: ToldJobs = known ?? new Map<string, Told>();
    if (process !== undefined) {
      this.toldByProcess.set(process, told);
    }
    return told;
  }

  /** Lists the jobs of which a process was not told often enough, those that it was told least of first. */
  private listDue<T extends Statable>(told: ToldJobs, jobs: readonly T[]): T[] {
    const byCount = Array.from({ length: this.limits.minStatements }, (): T[] => []);
    jobs.forEach((job) => byCount[countOf(told, job)]?.push(job));
    return byCount.flat().slice(0, this.limits.maxDue);
  }
}

/** @returns how often a process was told of a job; not at all, if the job is held for longer than that */
const countOf = (told: ToldJobs, job: Statable): number => {
  const known = told.get(job.key);
  return known === undefined || job.untilMs > known.untilMs + minExtensionMs ? 0 : known.count;
};

/** Lists the jobs besides those that are due of which a process was told longest ago. */
const listLongestAgo = <T extends Statable>(
  told: ToldJobs,
  jobs: readonly T[],
  due: readonly T[],
  maxJobs: number,
): T[] => {
  const open = new Map(jobs.map((job) => [job.key, job]));
  due.forEach(({ key }) => open.delete(key));
  const chosen: T[] = [];
  for (const key of told.keys()) {
    const job = open.get(key);
    if (chosen.length === maxJobs) {
      break;
    }
    if (job !== undefined) {
      chosen.push(job);
    }
  }
  return chosen;
};

/** Removes what was told of jobs that are not held any more: the process may have forgotten it, so that a new attempt is new to it. */
const removeClosed = (told: ToldJobs, jobs: readonly Statable[]): void => {
  const open = new Set(jobs.map(({ key }) => key));
  for (const key of told.keys()) {
    if (!open.has(key)) {
      told.delete(key);
    }
  }
};
