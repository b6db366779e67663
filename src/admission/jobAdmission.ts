/**
 * Admission of the jobs of this daemon's callers: gathers what `decideAdmission` needs, counts the demand, and logs and
 * counts what is decided.
 */
import { unreachable } from '../errors/unreachable.js';
import { criticalPathMs } from '../bestEffort/objective.js';
import type { JobContext } from '../bestEffort/jobContext.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import { mayDecideByPriority } from '../types/schedulingPolicy.js';
import type { SchedulingPolicy } from '../types/schedulingPolicy.js';
import type { TaskDemand } from '../dispatch/workerChoice.js';
import { decideAdmission, refusalReasons } from './admissionDecision.js';
import type { AdmissionDecision, PlanForecast, ReservedCapacity } from './admissionDecision.js';
import { reserveFor } from './capacityReserve.js';
import { coreMsOf, RecentDemand } from './recentDemand.js';
import { RetrySchedule } from './retrySchedule.js';
import type { ServiceLoadOf } from './serviceLoadOfView.js';

/** Size of task with which all free cores count, in thousandths of a core. */
const anyCpuMillis = 1;

export interface JobAdmissionOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly serviceLoadOf: ServiceLoadOf;
  readonly schedulingPolicy: SchedulingPolicy;
}

/** A plan with the age of the load reports that it relies on. */
export interface CheckedPlan extends PlanForecast {
  readonly oldestReportAgeMs: number;
}

export class JobAdmission {
  private readonly demand: RecentDemand;
  private readonly retries: RetrySchedule;

  private constructor(private readonly options: JobAdmissionOptions) {
    this.demand = RecentDemand.create(options.clock);
    this.retries = RetrySchedule.create(options.clock, options.random);
  }

  static create(options: JobAdmissionOptions): JobAdmission {
    return new JobAdmission(options);
  }

  /** Counts a job towards the recent demand, before it is decided on for the first time. */
  recordArrival({ route, steps }: Pick<JobContext, 'route' | 'steps'>): void {
    this.demand.recordAsked(route, steps);
  }

  /** Counts a job that is admitted; called when its first plan is carried out. */
  recordAdmission({ route, steps }: Pick<JobContext, 'route' | 'steps'>): void {
    this.demand.recordAdmitted(route, steps);
  }

  /**
   * Decides on a job of which nothing has started.
   *
   * @param plan - left out to check only the reserve, before the tasks are planned
   */
  decide(job: JobContext, demand: TaskDemand, plan?: CheckedPlan): AdmissionDecision {
    const nowMs = this.options.clock.nowMs();
    const reserve = this.reserveOf(job);
    const decision = decideAdmission({
      objectiveInMs: demand.objectiveAtMs - nowMs,
      latestEndInMs: this.latestEndAtMs(job) - nowMs,
      runMs: demand.estimatedMs,
      slackMs: job.objectiveMs - criticalPathMs(job.steps),
      reserve,
      ...(plan === undefined ? {} : { plan }),
    });
    this.report(decision, job, demand.objectiveAtMs - nowMs, reserve, plan);
    return decision;
  }

  /** @returns time after which the caller of a refused job is asked to retry, in milliseconds */
  retryAfterMs(job: JobContext, lateMs: number): number {
    const { route, request, steps, arrivedAtMs } = job;
    const { serviceId } = route;
    return this.retries.retryAfterMs({
      ...{ jobId: request.jobId, serviceId, lateMs, arrivedAtMs, coreMs: coreMsOf(steps) },
      capacityCpuMillis: this.options.serviceLoadOf(serviceId, anyCpuMillis).capacityCpuMillis,
    });
  }

  /**
   * Latest expected end with which a job is admitted. While routes of different priority compete, capacity is not spent on
   * responses that are expected after the objective, which are worth little to their callers.
   */
  private latestEndAtMs(job: JobContext): number {
    if (!this.decidesByPriority) {
      return job.latestAdmissibleEndAtMs;
    }
    const demands = this.demand.ofService(job.route.serviceId);
    const isCompeting = new Set(demands.map(({ priority }) => priority)).size > 1;
    return isCompeting ? job.objectiveAtMs : job.latestAdmissibleEndAtMs;
  }

  private reserveOf({ route }: JobContext): ReservedCapacity | undefined {
    const { serviceId, priority } = route;
    const reserve = this.decidesByPriority
      ? reserveFor(this.demand.ofService(serviceId), priority)
      : undefined;
    if (reserve === undefined) {
      return undefined;
    }
    const load = this.options.serviceLoadOf(serviceId, reserve.taskCpuMillis);
    const { askedCoreMs, admittedCoreMs } = this.demand.of(route);
    return {
      reservedCpuMillis: reserve.share * load.capacityCpuMillis,
      freeCpuMillis: load.freeCpuMillis,
      servedShare: askedCoreMs === 0 ? 0 : admittedCoreMs / askedCoreMs,
    };
  }

  private get decidesByPriority(): boolean {
    return mayDecideByPriority(this.options.schedulingPolicy);
  }

  private report(
    decision: AdmissionDecision,
    { request, route }: JobContext,
    leftMs: number,
    reserve: ReservedCapacity | undefined,
    plan: CheckedPlan | undefined,
  ): void {
    const { logger, metrics } = this.options;
    switch (decision.kind) {
      case 'admit':
        return;
      case 'wait':
        metrics.count('admission_waits', 1, [`route:${route.routeId}`]);
        return;
      case 'refuse':
        logger.info('No room is free in time.', {
          jobId: request.jobId,
          routeId: route.routeId,
          reason: refusalReasons[decision.cause],
          leftMs: Math.round(leftMs),
          ...(plan === undefined
            ? {}
            : { expectedMs: Math.round(plan.endsInMs), ageMs: plan.oldestReportAgeMs }),
          ...(reserve === undefined
            ? {}
            : {
                cpuMillis: Math.round(reserve.freeCpuMillis),
                reservedCpuMillis: Math.round(reserve.reservedCpuMillis),
              }),
        });
        return;
      default:
        return unreachable(decision);
    }
  }
}
