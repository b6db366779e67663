/**
 * Recent demand on a service by route: what its jobs ask for and what is admitted of it, with exponential decay. Each
 * daemon counts the jobs of its own callers; the shares of the routes are taken for those of the failure domain.
 */
import type { Clock } from '../ports/clock.js';
import type { JobStep } from '../ports/jobs.js';
import type { Route } from '../types/routing.js';

/**
 * Time after which demand counts for 1/e, in milliseconds: long enough for some jobs of each route at one daemon, and
 * short enough that the reserve follows a burst of a few seconds.
 */
const demandDecayMs = 4_000;

/** Less recent demand, in core-milliseconds, counts as none. */
const minDemandCoreMs = 1;

/** What the jobs of a route asked for lately. */
export interface RouteDemand {
  readonly serviceId: string;
  readonly priority: number;
  /** Cores times milliseconds of expected run time. */
  readonly askedCoreMs: number;
  /** Milliseconds of expected run time, summed over the tasks. */
  readonly askedTaskMs: number;
  /** What was admitted of `askedCoreMs`. */
  readonly admittedCoreMs: number;
}

interface CountedDemand extends RouteDemand {
  readonly updatedAtMs: number;
}

export class RecentDemand {
  /** By route id. */
  private readonly routes = new Map<string, CountedDemand>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): RecentDemand {
    return new RecentDemand(clock);
  }

  /** Counts a job that arrives. */
  recordAsked(route: Route, steps: readonly JobStep[]): void {
    const known = this.of(route);
    this.set(route, {
      ...known,
      askedCoreMs: known.askedCoreMs + coreMsOf(steps),
      askedTaskMs: known.askedTaskMs + taskMsOf(steps),
    });
  }

  /** Counts a job that is admitted. */
  recordAdmitted(route: Route, steps: readonly JobStep[]): void {
    const known = this.of(route);
    this.set(route, { ...known, admittedCoreMs: known.admittedCoreMs + coreMsOf(steps) });
  }

  /** @returns the recent demand of a route */
  of({ routeId, serviceId, priority }: Route): RouteDemand {
    const known = this.routes.get(routeId);
    return known?.serviceId === serviceId && known.priority === priority
      ? this.decayed(known)
      : { serviceId, priority, askedCoreMs: 0, askedTaskMs: 0, admittedCoreMs: 0 };
  }

  /** Lists the routes of a service that had jobs lately. */
  ofService(serviceId: string): RouteDemand[] {
    this.forgetOld();
    return [...this.routes.values()]
      .filter((demand) => demand.serviceId === serviceId)
      .map((demand) => this.decayed(demand));
  }

  /** Removes routes without recent demand, since the configuration may have removed them. */
  private forgetOld(): void {
    for (const [routeId, demand] of this.routes) {
      if (this.decayed(demand).askedCoreMs < minDemandCoreMs) {
        this.routes.delete(routeId);
      }
    }
  }

  private set({ routeId }: Route, demand: RouteDemand): void {
    this.routes.set(routeId, { ...demand, updatedAtMs: this.clock.nowMs() });
  }

  private decayed(demand: CountedDemand): RouteDemand {
    const factor = Math.exp((demand.updatedAtMs - this.clock.nowMs()) / demandDecayMs);
    return {
      serviceId: demand.serviceId,
      priority: demand.priority,
      askedCoreMs: demand.askedCoreMs * factor,
      askedTaskMs: demand.askedTaskMs * factor,
      admittedCoreMs: demand.admittedCoreMs * factor,
    };
  }
}

const taskMsOf = (steps: readonly JobStep[]): number =>
  steps.reduce((sum, { taskCount, estimatedMs }) => sum + taskCount * estimatedMs, 0);

/** @returns the cores that the tasks of a job need, times their expected run time in milliseconds */
export const coreMsOf = (steps: readonly JobStep[]): number =>
  steps.reduce(
    (sum, { taskCount, estimatedMs, needs }) =>
      sum + (taskCount * estimatedMs * needs.resources.cpuMillis) / 1_000,
    0,
  );
