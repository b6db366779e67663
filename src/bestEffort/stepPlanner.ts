/**
 * Divides the tasks of a step among the dispatchers and predicts when the last of them ends.
 */
import { chooseWorker } from '../dispatch/workerChoice.js';
import type { Candidate, TaskDemand } from '../dispatch/workerChoice.js';
import type { BatchTask } from '../types/dispatch.js';
import type { Clock } from '../ports/clock.js';
import type { Random } from '../ports/random.js';
import type { Resources } from '../types/resources.js';
import type { FleetView, Reservation, Scope } from './fleetView.js';
import { timeUntilFreeMs } from './workerSnapshot.js';
import type { Locality, WorkerSnapshot } from './workerSnapshot.js';

/** Tasks of a step that are to be sent to one dispatcher. */
export interface PlannedBatch {
  /** Incarnation of the daemon that dispatches them. */
  readonly dispatcherId: string;
  readonly tasks: BatchTask[];
}

/** An assignment of the tasks of a step to dispatchers, with its expected timing. */
export interface StepPlan {
  readonly batches: readonly PlannedBatch[];
  /** Expected end of the last task, in milliseconds on this process's monotonic clock. */
  readonly lastEndAtMs: number;
  /** Whether a worker has free capacity for at least one of the tasks now. */
  readonly startsNow: boolean;
  /** Longest time that a task is expected to wait for free capacity, in milliseconds. */
  readonly longestWaitMs: number;
  /** Age of the oldest load report that the plan relies on, in milliseconds. */
  readonly oldestReportAgeMs: number;
  /** Capacity that the plan uses at the chosen workers. */
  readonly reservations: readonly Reservation[];
}

/**
 * Cost of sending a batch to a dispatcher, as an equivalent wait in milliseconds. Only the first
 * task that a plan assigns to each dispatcher bears it; the others are in the same batch.
 */
const messageCosts: Readonly<Record<Locality, number>> = { own: 0, near: 6, far: 14 };

/** A candidate whose free capacity and cost are updated as tasks of the plan are assigned to it. */
interface PlannedCandidate extends WorkerSnapshot, Candidate {
  free: Resources;
  startsInMs: number;
  messageCost: number;
}

/** The worker chosen for one task. */
interface Assignment {
  readonly candidate: PlannedCandidate;
  /** Expected wait for free capacity, in milliseconds. */
  readonly startsInMs: number;
  /** Expected run time on this worker, in milliseconds. */
  readonly runMs: number;
}

export interface StepPlannerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly view: FleetView;
  /** Factor by which a task runs longer outside the rack of its data. */
  readonly farRackFactor: number;
}

export class StepPlanner {
  private constructor(private readonly options: StepPlannerOptions) {}

  static create(options: StepPlannerOptions): StepPlanner {
    return new StepPlanner(options);
  }

  /**
   * Plans tasks of a step. The workers with free cores in this daemon's own failure domain are
   * considered first, which are enough for most steps; all workers there, and then those of other
   * domains, only if the step could otherwise not start every task at once and meet the objective.
   *
   * @param serviceId - service whose workers run the tasks
   * @param demand - resources, expected run time and time limits of each task
   * @param tasks - the tasks to assign
   * @param excludedDispatcherIds - dispatchers that get none of them
   * @returns the plan, or nothing if some task has no worker that is expected to end it before
   *   `giveUpAtMs`
   */
  plan(
    serviceId: string,
    demand: TaskDemand,
    tasks: readonly BatchTask[],
    excludedDispatcherIds: ReadonlySet<string>,
  ): StepPlan | undefined {
    const { clock, view } = this.options;
    const nowMs = clock.nowMs();
    const planWithin = (scope: Scope): StepPlan | undefined => {
      const workers = view
        .workers(serviceId, scope, demand.needs.resources.cpuMillis)
        .filter(({ dispatcherId }) => !excludedDispatcherIds.has(dispatcherId));
      return this.planWithWorkers(workers, demand, tasks, nowMs);
    };
    const meetsObjective = (plan: StepPlan | undefined): boolean =>
      plan?.longestWaitMs === 0 && plan.lastEndAtMs <= demand.objectiveAtMs;
    const withFreeCores = planWithin('free-in-domain');
    if (meetsObjective(withFreeCores)) {
      return withFreeCores;
    }
    return view.hasFarDispatchers ? planWithin('fleet') : planWithin('own-domain');
  }

  /** Plans with the given workers, whose snapshots it changes. */
  private planWithWorkers(
    workers: readonly WorkerSnapshot[],
    demand: TaskDemand,
    tasks: readonly BatchTask[],
    nowMs: number,
  ): StepPlan | undefined {
    const candidates = workers.flatMap((worker) => toCandidate(worker, demand) ?? []);
    const batches = new Map<string, PlannedBatch>();
    const reservations: Reservation[] = [];
    let lastEndAtMs = nowMs;
    let startsNow = false;
    let longestWaitMs = 0;
    let oldestReportAgeMs = 0;
    for (const task of tasks) {
      const assignment = this.chooseAssignment(demand, candidates, nowMs);
      if (assignment === undefined) {
        return undefined;
      }
      const { candidate, startsInMs, runMs } = assignment;
      const { dispatcherId, workerId, deliveryMs, reportedAtMs } = candidate;
      oldestReportAgeMs = Math.max(oldestReportAgeMs, Math.round(nowMs - reportedAtMs));
      const batch = batches.get(dispatcherId) ?? { dispatcherId, tasks: [] };
      batch.tasks.push(task);
      if (batch.tasks.length === 1) {
        batches.set(dispatcherId, batch);
        clearMessageCost(candidates, dispatcherId);
      }
      lastEndAtMs = Math.max(lastEndAtMs, nowMs + Math.max(startsInMs, deliveryMs) + runMs);
      startsNow ||= startsInMs === 0;
      longestWaitMs = Math.max(longestWaitMs, startsInMs);
      reserveCapacity(candidate, demand, runMs);
      const { cpuMillis } = demand.needs.resources;
      reservations.push({ dispatcherId, workerId, cpuMillis, runMs });
    }
    return {
      batches: [...batches.values()],
      lastEndAtMs,
      startsNow,
      longestWaitMs,
      oldestReportAgeMs,
      reservations,
    };
  }

  /** Reserves the capacity that a plan uses, so that later plans do not count on it. */
  commit({ reservations }: StepPlan): void {
    reservations.forEach((reservation) => this.options.view.reserve(reservation));
  }

  /** Chooses the worker for one task; returns nothing if none can end it before it is given up. */
  private chooseAssignment(
    demand: TaskDemand,
    candidates: readonly PlannedCandidate[],
    nowMs: number,
  ): Assignment | undefined {
    const { random, farRackFactor } = this.options;
    const chosen = chooseWorker(demand, candidates, {
      nowMs,
      farRackFactor,
      random: () => random.next(),
    });
    return chosen === undefined
      ? undefined
      : {
          candidate: chosen.candidate,
          startsInMs: chosen.candidate.startsInMs,
          runMs: Math.round(chosen.expectedMs),
        };
  }
}

/** @returns the worker as a candidate, or nothing if a task never fits */
const toCandidate = (
  worker: WorkerSnapshot,
  { needs }: TaskDemand,
): PlannedCandidate | undefined => {
  const startsInMs = timeUntilFreeMs(worker, needs.resources);
  if (startsInMs === Infinity) {
    return undefined;
  }
  const messageCost = messageCosts[worker.locality];
  return Object.assign(worker, { free: freeResourcesOf(worker), startsInMs, messageCost });
};

/** Further tasks for a dispatcher add no cost, since they are sent in the same batch. */
const clearMessageCost = (candidates: readonly PlannedCandidate[], dispatcherId: string): void => {
  for (const candidate of candidates) {
    if (candidate.dispatcherId === dispatcherId) {
      candidate.messageCost = 0;
    }
  }
};

/** Reserves the resources of one task at a candidate, for its expected run time. */
const reserveCapacity = (
  candidate: PlannedCandidate,
  { needs: { resources } }: TaskDemand,
  runMs: number,
): void => {
  candidate.availability.reserve(resources.cpuMillis, runMs);
  candidate.startsInMs = timeUntilFreeMs(candidate, resources);
  candidate.free = freeResourcesOf(candidate);
};

/** @returns what is free now: cores by the availability, the rest by the dispatcher's report */
const freeResourcesOf = ({ free, availability }: WorkerSnapshot): Resources => ({
  ...free,
  cpuMillis: availability.free,
});
