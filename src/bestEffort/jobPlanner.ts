/**
 * Divides the tasks of a step among the dispatchers, and tells when the last is expected to end.
 */
import { chooseWorker } from '../dispatch/workerChoice.js';
import type { Candidate, TaskDemand } from '../dispatch/workerChoice.js';
import type { BatchTask } from '../types/dispatch.js';
import type { Clock } from '../ports/clock.js';
import type { Random } from '../ports/random.js';
import type { Resources } from '../types/resources.js';
import { roomInMs } from './fleetView.js';
import type { FleetView, Nearness, Reservation, SeenWorker } from './fleetView.js';

/** Tasks that go to one dispatcher. */
export interface PlannedBatch {
  readonly dispatcherId: string;
  readonly tasks: BatchTask[];
}

/** Where the tasks of a step go. */
export interface StepPlan {
  readonly batches: readonly PlannedBatch[];
  /** When the last task is expected to end, on this process's monotonic clock. */
  readonly lastEndAtMs: number;
  /** Whether there is room for one of the tasks now. */
  readonly startsNow: boolean;
  /** Longest time that a task waits for room, in milliseconds. */
  readonly longestWaitMs: number;
  /** Age of the oldest word of a dispatcher that the plan relies on, in milliseconds. */
  readonly oldestWordMs: number;
  /** The room that the plan counts on. */
  readonly reservations: readonly Reservation[];
}

/** Cost of the first task of a plan that goes to a dispatcher; further ones travel with it. */
const reachCosts: Readonly<Record<Nearness, number>> = { own: 0, near: 6, far: 14 };

/** A worker as a candidate, which changes as tasks of the plan get their places. */
interface PlannedCandidate extends SeenWorker, Candidate {
  free: Resources;
  startsInMs: number;
  reachCost: number;
}

/** Where one task goes. */
interface Place {
  readonly candidate: PlannedCandidate;
  readonly startsInMs: number;
  readonly runMs: number;
}

export interface JobPlannerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly view: FleetView;
  readonly farRackFactor: number;
}

export class JobPlanner {
  private constructor(private readonly options: JobPlannerOptions) {}

  static create(options: JobPlannerOptions): JobPlanner {
    return new JobPlanner(options);
  }

  /**
   * Plans a step.
   *
   * @param serviceId - whose workers run it
   * @param demand - what each task asks for
   * @param tasks - the tasks
   * @param avoided - dispatchers that gave the tasks back
   * @returns the plan, or nothing if no dispatcher that is heard can have a task done in time
   */
  plan(
    serviceId: string,
    demand: TaskDemand,
    tasks: readonly BatchTask[],
    avoided: ReadonlySet<string>,
  ): StepPlan | undefined {
    const nowMs = this.options.clock.nowMs();
    const workers = this.options.view
      .workers(serviceId)
      .filter(({ dispatcherId }) => !avoided.has(dispatcherId));
    const near = workers.filter(({ nearness }) => nearness !== 'far');
    if (near.length === workers.length) {
      return this.planOn(workers, demand, tasks, nowMs);
    }
    const plan = this.planOn(near, demand, tasks, nowMs);
    const isEnough = plan?.longestWaitMs === 0 && plan.lastEndAtMs <= demand.objectiveAtMs;
    return isEnough ? plan : this.planOn(workers, demand, tasks, nowMs);
  }

  /** Plans on some workers, each of which may have got tasks in an earlier plan that is not taken. */
  private planOn(
    workers: readonly SeenWorker[],
    demand: TaskDemand,
    tasks: readonly BatchTask[],
    nowMs: number,
  ): StepPlan | undefined {
    const candidates = workers.flatMap((seen) => toCandidate(seen, demand) ?? []);
    const batches = new Map<string, PlannedBatch>();
    const reservations: Reservation[] = [];
    let lastEndAtMs = nowMs;
    let startsNow = false;
    let longestWaitMs = 0;
    let oldestWordMs = 0;
    for (const task of tasks) {
      const place = this.choose(demand, candidates, nowMs);
      if (place === undefined) {
        return undefined;
      }
      const { candidate, startsInMs, runMs } = place;
      const { dispatcherId, workerId, distanceMs, heardAtMs } = candidate;
      oldestWordMs = Math.max(oldestWordMs, Math.round(nowMs - heardAtMs));
      const batch = batches.get(dispatcherId) ?? { dispatcherId, tasks: [] };
      batch.tasks.push(task);
      if (batch.tasks.length === 1) {
        batches.set(dispatcherId, batch);
        noteReached(candidates, dispatcherId);
      }
      lastEndAtMs = Math.max(lastEndAtMs, nowMs + Math.max(startsInMs, distanceMs) + runMs);
      startsNow ||= startsInMs === 0;
      longestWaitMs = Math.max(longestWaitMs, startsInMs);
      takeRoom(candidate, demand, runMs);
      const { cpuMillis } = demand.needs.resources;
      reservations.push({ dispatcherId, workerId, cpuMillis, runMs });
    }
    return {
      batches: [...batches.values()],
      lastEndAtMs,
      startsNow,
      longestWaitMs,
      oldestWordMs,
      reservations,
    };
  }

  /** Keeps the room of a plan that is carried out from the plans that follow. */
  commit({ reservations }: StepPlan): void {
    reservations.forEach((reservation) => this.options.view.reserve(reservation));
  }

  private choose(
    demand: TaskDemand,
    candidates: readonly PlannedCandidate[],
    nowMs: number,
  ): Place | undefined {
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

/** @returns the worker as a candidate, with room of its own to take; nothing if a task never fits */
const toCandidate = (seen: SeenWorker, { needs }: TaskDemand): PlannedCandidate | undefined => {
  const startsInMs = roomInMs(seen, needs.resources);
  if (startsInMs === Infinity) {
    return undefined;
  }
  const reachCost = reachCosts[seen.nearness];
  return { ...seen, profile: seen.profile.copy(), free: freeOf(seen), startsInMs, reachCost };
};

/** Further tasks travel with the first to a dispatcher. */
const noteReached = (candidates: readonly PlannedCandidate[], dispatcherId: string): void => {
  for (const candidate of candidates) {
    if (candidate.dispatcherId === dispatcherId) {
      candidate.reachCost = 0;
    }
  }
};

const takeRoom = (
  candidate: PlannedCandidate,
  { needs: { resources } }: TaskDemand,
  runMs: number,
): void => {
  candidate.profile.take(resources.cpuMillis, runMs);
  candidate.startsInMs = roomInMs(candidate, resources);
  candidate.free = freeOf(candidate);
};

const freeOf = ({ free, profile }: SeenWorker): Resources => ({
  ...free,
  cpuMillis: profile.free,
});
