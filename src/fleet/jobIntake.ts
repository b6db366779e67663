/**
 * Accepts the jobs of callers: finds their route, rejects what cannot run here, and runs the rest.
 */
import type { DaemonOverload } from '../admission/daemonOverload.js';
import { timelinessOf } from '../admission/requestTimeliness.js';
import { countJobEnd } from '../bestEffort/countJobEnd.js';
import { computeObjectiveMs, criticalPathMs } from '../bestEffort/objective.js';
import type { RunningJobs } from '../bestEffort/runningJobs.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { unreachable } from '../errors/unreachable.js';
import type {
  CancellationOutcome,
  JobEnd,
  JobRequest,
  JobService,
  JobState,
  RouteMatch,
} from '../ports/jobs.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { RoutingStore } from '../routing/routingStore.js';
import type { Route } from '../types/routing.js';
import type { WorkerDirectory } from '../workers/workerDirectory.js';
import { describeWait } from './callerContact.js';
import type { CallerContact, RequestWait } from './callerContact.js';
import type { HeldJobs } from './heldJobs.js';
import type { JobCancellation } from './jobCancellation.js';
import type { JobJoins, JoinRequest } from './jobJoins.js';
import { rejectionForSize } from './sizeRejection.js';
import type { Rejection } from './sizeRejection.js';
import type { StandstillDetector } from './standstillDetector.js';

/** Time after which a job with unsupported demands may be sent again, in milliseconds. */
const unsupportedRetryAfterMs = 60_000;
/** Time after which a job that a stopping daemon refused may be sent again, in milliseconds. */
const shutdownRetryAfterMs = 1_000;
/** Time after which a job may be sent again whose request came too late, in milliseconds. */
const overloadRetryAfterMs = 1_000;
/** Largest body of a request before the first routing configuration is in force. */
const defaultMaxBodyBytes = 262_144;

/** An attempt whose job starts here, or waits since another daemon holds it. */
interface Attempt extends JoinRequest {
  /** For how long its request may have waited until it was read. */
  readonly wait: RequestWait;
}

export interface JobIntakeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly routing: RoutingStore;
  readonly directory: WorkerDirectory;
  readonly jobs: RunningJobs;
  readonly cancellation: JobCancellation;
  readonly joins: JobJoins;
  readonly held: Pick<HeldJobs, 'claimsOn'>;
  readonly dispatcher: Pick<Dispatcher, 'openBatchesOfJob'>;
  /** Tells for how long a request may have waited. */
  readonly contact: Pick<CallerContact, 'waitOf'>;
  /** Whether this daemon keeps up with its callers. */
  readonly overload: Pick<DaemonOverload, 'isReady'>;
  /** Finds a suspension of the VM, which counts as time waited. */
  readonly standstills: Pick<StandstillDetector, 'check'>;
}

/**
 * Phase of a planned shutdown. `leaving`: reports that it is not ready, but accepts jobs. `closed`:
 * refuses new jobs.
 */
type IntakeState = 'open' | 'leaving' | 'closed';

export class JobIntake implements JobService {
  private intakeState: IntakeState = 'open';

  private constructor(private readonly options: JobIntakeOptions) {}

  static create(options: JobIntakeOptions): JobIntake {
    return new JobIntake(options);
  }

  /** Reports from now on that it is not ready, so that callers go elsewhere; still accepts jobs. */
  leave(): void {
    this.intakeState = 'leaving';
  }

  /** Refuses new jobs from now on. */
  close(): void {
    this.intakeState = 'closed';
  }

  isReady(): boolean {
    const { routing, overload } = this.options;
    return this.intakeState === 'open' && routing.current !== undefined && overload.isReady;
  }

  maxBodyBytes(): number {
    return this.options.routing.current?.routing.maxBodyBytes ?? defaultMaxBodyBytes;
  }

  findRoute(host: string, path: string): RouteMatch {
    const active = this.options.routing.current;
    if (active === undefined) {
      return { kind: 'unconfigured' };
    }
    const route = active.table.find(host, path);
    return route === undefined ? { kind: 'unknown' } : { kind: 'found', route };
  }

  async submit(
    route: Route,
    request: JobRequest,
    deadlineMs: number,
    signal: AbortSignal,
    earliestSentAtMs?: number,
  ): Promise<JobEnd> {
    const { clock, joins, contact, standstills } = this.options;
    standstills.check();
    const wait = contact.waitOf(earliestSentAtMs);
    const rejection = this.rejectionOf(route, request);
    if (rejection !== undefined) {
      return this.reject(route, request, rejection, wait);
    }
    const attempt: Attempt = {
      ...{ route, request, deadlineMs, signal, wait },
      earliestSentAtMs: clock.nowMs() - wait.waitedMs,
    };
    if (joins.isHeldElsewhere(request.jobId)) {
      return this.join(attempt);
    }
    const late = this.rejectionForWait(attempt);
    return late === undefined
      ? this.start(attempt, deadlineMs, earliestSentAtMs)
      : this.reject(route, request, late, wait);
  }

  /** Number of jobs that have no answer yet. */
  get jobCount(): number {
    return this.options.jobs.size + this.options.joins.size;
  }

  /** Ends every job, so that its caller gets an answer. */
  giveUpAll(reason: string): void {
    this.options.jobs.giveUpAll(reason);
    this.options.joins.giveUpAll(reason);
  }

  state(jobId: string): JobState {
    const { jobs, joins } = this.options;
    return joins.isWaiting(jobId) ? 'running' : jobs.state(jobId);
  }

  mayHaveRun(jobId: string): boolean {
    const { jobs, joins } = this.options;
    return joins.isWaiting(jobId) || jobs.mayHaveRun(jobId) || this.listHolders(jobId).length > 0;
  }

  cancel(jobId: string): Promise<CancellationOutcome> {
    return this.options.cancellation.cancel(jobId);
  }

  countWaiting(routeId: string): number {
    return this.options.jobs.countWaiting(routeId);
  }

  /**
   * Runs a job that no other daemon holds as far as is known; if one states before the first start that it does, the attempt
   * waits. Claims that are there now don't matter.
   */
  private async start(
    attempt: Attempt,
    leftMs: number,
    earliestSentAtMs?: number,
  ): Promise<JobEnd> {
    const { jobs } = this.options;
    const { route, request, signal } = attempt;
    const settled = this.listHolders(request.jobId);
    const isHeldElsewhere = (): boolean =>
      this.listHolders(request.jobId).some((holder) => !settled.includes(holder));
    const end = await jobs.submit(route, request, leftMs, signal, {
      earliestSentAtMs,
      isHeldElsewhere,
    });
    return end.kind === 'held-elsewhere' ? this.join(attempt) : end;
  }

  /** Lists the daemons that have stated that they hold a job, or of which a batch of it is open here. */
  private listHolders(jobId: string): string[] {
    const { dispatcher, held } = this.options;
    return [
      ...held.claimsOn(jobId).map(({ holder }) => holder),
      ...dispatcher.openBatchesOfJob(jobId).map(({ askedBy }) => askedBy),
    ];
  }

  /** Waits for a job that another daemon holds, and runs it here if it has no end and no run of it goes on there. */
  private async join(attempt: Attempt): Promise<JobEnd> {
    const { clock, joins, metrics } = this.options;
    const { route, request, deadlineMs, earliestSentAtMs, wait } = attempt;
    const outcome = await joins.wait(attempt);
    switch (outcome.kind) {
      case 'start': {
        const rejection = this.rejectionOf(route, request);
        const leftMs = deadlineMs - (clock.nowMs() - earliestSentAtMs);
        return rejection === undefined
          ? this.start(attempt, leftMs)
          : this.reject(route, request, rejection, wait);
      }
      case 'ended':
        countJobEnd(metrics, route.routeId, outcome.end);
        return outcome.end;
      default:
        return unreachable(outcome);
    }
  }

  /**
   * @returns how a job ends whose request was delayed on the link for too long to be of use. A job of which a task may have
   *   run, for an earlier request here or at another daemon, is not refused.
   */
  private rejectionForWait({ route, request, deadlineMs, wait }: Attempt): Rejection | undefined {
    const timeliness = timelinessOf({
      ...{ waitedMs: wait.linkDelayMs, deadlineMs },
      declaredMs: criticalPathMs(request.steps),
      objectiveMs: computeObjectiveMs(route, request.steps),
    });
    const { jobId } = request;
    switch (timeliness.kind) {
      case 'in-time':
        return undefined;
      case 'too-late':
        return this.mayHaveRun(jobId)
          ? undefined
          : {
              ...{ kind: 'refused', reason: 'its request was on its way for too long' },
              retryAfterMs: overloadRetryAfterMs,
            };
      default:
        return unreachable(timeliness);
    }
  }

  private reject(
    { routeId }: Route,
    { jobId }: JobRequest,
    rejection: Rejection,
    wait: RequestWait,
  ): JobEnd {
    const { logger, metrics } = this.options;
    const { kind: outcome, reason } = rejection;
    logger.info('A job is rejected.', {
      ...{ jobId, routeId, outcome, reason },
      ...describeWait(wait),
    });
    countJobEnd(metrics, routeId, rejection);
    return rejection;
  }

  /** @returns how a job ends that is rejected, or nothing for a job that is run */
  private rejectionOf(route: Route, request: JobRequest): Rejection | undefined {
    const { unsupported, jobId } = request;
    if (unsupported.length > 0) {
      const reason = `not supported: ${unsupported.join(', ')}`;
      return { kind: 'refused', reason, retryAfterMs: unsupportedRetryAfterMs };
    }
    // A repeated request of a running job waits for it: it must not be told that nothing runs.
    if (this.options.jobs.state(jobId) !== 'unknown') {
      return undefined;
    }
    if (this.intakeState === 'closed') {
      const reason = 'the daemon stops';
      return { kind: 'refused', reason, retryAfterMs: shutdownRetryAfterMs };
    }
    return rejectionForSize(this.options.directory, route, request);
  }
}
