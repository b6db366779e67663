/**
 * Two overlapping series of planned restarts, and what they take from the fleet: for how long workers have no
 * dispatcher that may start tasks on them, and which processes are still running at the end of their grace period.
 */
import type { JobEnd } from '../../src/ports/jobs.js';
import type { FakeClock } from '../../src/testing/fakeClock.js';
import { stopGraceMs } from '../../src/testing/model/modelDaemon.js';
import type { ModelDaemon } from '../../src/testing/model/modelDaemon.js';
import type { Arrival } from './arrivals.js';

/** Time between two stops of one series, in milliseconds. */
const seriesPeriodsMs = [1_400, 2_000] as const;
/** Time from the end of a process to its next start, in milliseconds. */
const backAfterMs = 1_000;
const samplePeriodMs = 20;

/** A planned stop that has ended. */
interface EndedStop {
  readonly address: string;
  readonly beganAtMs: number;
  readonly durationMs: number;
}

export class PlannedRestarts {
  private readonly beganAtMs: number;
  private readonly stops: EndedStop[] = [];
  private readonly stopping = new Set<ModelDaemon>();
  /** Arrival times of the jobs that were refused, given up or late, by what became of them. */
  private readonly unservedJobs = new Map<string, Arrival[]>();
  /** Number of workers without a dispatcher at each sample. */
  private readonly unserved: number[] = [];

  private constructor(
    private readonly time: FakeClock,
    private readonly daemons: readonly ModelDaemon[],
    private readonly workerCount: number,
  ) {
    this.beganAtMs = time.nowMs();
  }

  /** Begins both series, which stop daemons until a time from now, in milliseconds. */
  static begin(
    time: FakeClock,
    daemons: readonly ModelDaemon[],
    { workerCount, untilMs }: { readonly workerCount: number; readonly untilMs: number },
  ): PlannedRestarts {
    const restarts = new PlannedRestarts(time, daemons, workerCount);
    seriesPeriodsMs.forEach((periodMs, index) => {
      const firstIndex = Math.floor((daemons.length * index) / seriesPeriodsMs.length);
      void restarts.runSeries(periodMs, firstIndex, untilMs);
    });
    void restarts.sample();
    return restarts;
  }

  /**
   * Returns the daemon that a connection reaches: the platform routes none to a daemon that accepts none, and none
   * to a new process before it is ready.
   */
  reachedBy(index: number): ModelDaemon | undefined {
    const { daemons } = this;
    const order = daemons.map((_, offset) => daemons[(index + offset) % daemons.length]);
    return order.find((daemon) => {
      const { current } = daemon ?? {};
      const isStopping = daemon !== undefined && this.stopping.has(daemon);
      return current?.acceptsClients === true && (isStopping || current.daemon.intake.isReady());
    });
  }

  /** Records how a job ended, whether or not within its objective. */
  recordEnd(arrival: Arrival, end: JobEnd, isInTime: boolean): void {
    if (end.kind === 'completed' && isInTime) {
      return;
    }
    const cause = 'reason' in end ? `${end.kind}: ${end.reason}` : 'late';
    this.unservedJobs.set(cause, [...(this.unservedJobs.get(cause) ?? []), arrival]);
  }

  /** Prints what the restarts took from the fleet. */
  print(): void {
    const { stops, unserved, workerCount } = this;
    const lostMs = unserved.reduce((sum, count) => sum + count, 0) * samplePeriodMs;
    const wholeMs = unserved.length * workerCount * samplePeriodMs;
    const overdue = stops.filter(({ durationMs }) => durationMs >= stopGraceMs);
    process.stdout.write(
      `  ${stops.length} planned stops, longest ${Math.max(0, ...stops.map((one) => one.durationMs))} ms, ` +
        `${overdue.length} still running at the end of the grace period; ` +
        `workers without a dispatcher: ${((100 * lostMs) / wholeMs).toFixed(1)}% of their time, ` +
        `at most ${Math.max(0, ...unserved)} of ${workerCount}\n`,
    );
    for (const [cause, jobs] of this.unservedJobs) {
      const atMs = jobs.map((job) => Math.round(job.atMs)).sort((a, b) => a - b);
      process.stdout.write(`  ${jobs.length} ${cause}; arrived at ${atMs.join(' ')} ms\n`);
    }
    process.stdout.write(`  ${this.describeGaps().join('; ')}\n`);
  }

  /** Stops one daemon after the other, each of which starts again. */
  private async runSeries(periodMs: number, firstIndex: number, untilMs: number): Promise<void> {
    const { time, daemons, beganAtMs } = this;
    for (let index = firstIndex; time.nowMs() - beganAtMs < untilMs; index += 1) {
      const daemon = daemons[index % daemons.length];
      if (daemon !== undefined && !this.stopping.has(daemon)) {
        void this.restart(daemon);
      }
      await time.sleep(periodMs);
    }
  }

  private async restart(daemon: ModelDaemon): Promise<void> {
    const { time } = this;
    const beganAtMs = time.nowMs();
    this.stopping.add(daemon);
    await daemon.stop();
    const durationMs = time.nowMs() - beganAtMs;
    this.stops.push({ address: daemon.address, beganAtMs, durationMs });
    await time.sleep(backAfterMs);
    daemon.start();
    this.stopping.delete(daemon);
  }

  private async sample(): Promise<void> {
    for (;;) {
      const open = this.daemons.reduce(
        (sum, { current }) => sum + (current?.daemon.openWorkerCount ?? 0),
        0,
      );
      this.unserved.push(Math.max(this.workerCount - open, 0));
      await this.time.sleep(samplePeriodMs);
    }
  }

  /** Lists the periods in which some worker had no dispatcher, with the highest number of these workers. */
  private describeGaps(): string[] {
    const gaps: string[] = [];
    let beganAt: number | undefined;
    [...this.unserved, 0].forEach((count, index) => {
      if (count > 0) {
        beganAt ??= index;
        return;
      }
      if (beganAt !== undefined) {
        const most = Math.max(...this.unserved.slice(beganAt, index));
        gaps.push(`${beganAt * samplePeriodMs}-${index * samplePeriodMs} ms: up to ${most}`);
        beganAt = undefined;
      }
    });
    return gaps;
  }
}
