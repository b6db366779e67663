/**
 * Divides the tasks of a step among the dispatchers, and tells when the last is expected to end.
 */
import { chooseWorker } from '../dispatch/workerChoice.js';
import type { Candidate, TaskDemand } from '../dispatch/workerChoice.js';
import type { BatchTask } from '../dispatch/types.js';
import type { Clock } from '../ports/clock.js';
import type { Random } from '../ports/random.js';
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

interface PlannedCandidate extends Candidate {
  readonly seen: SeenWorker;
}

/** Where one task goes. */
interface Place {
  readonly worker: SeenWorker;
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
    const batches = new Map<string, PlannedBatch>();
    const reservations: Reservation[] = [];
    let lastEndAtMs = nowMs;
    let startsNow = false;
    let longestWaitMs = 0;
    let oldestWordMs = 0;
    for (const task of tasks) {
      const place = this.choose(demand, workers, batches, nowMs);
      if (place === undefined) {
        return undefined;
      }
      const { dispatcherId, workerId, distanceMs, profile, heardAtMs } = place.worker;
      oldestWordMs = Math.max(oldestWordMs, Math.round(nowMs - heardAtMs));
      const batch = batches.get(dispatcherId) ?? { dispatcherId, tasks: [] };
      batch.tasks.push(task);
      batches.set(dispatcherId, batch);
      const endAtMs = nowMs + Math.max(place.startsInMs, distanceMs) + place.runMs;
      lastEndAtMs = Math.max(lastEndAtMs, endAtMs);
      startsNow ||= place.startsInMs === 0;
      longestWaitMs = Math.max(longestWaitMs, place.startsInMs);
      const { cpuMillis } = demand.needs.resources;
      profile.take(cpuMillis, place.runMs);
      reservations.push({ dispatcherId, workerId, cpuMillis, runMs: place.runMs });
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
    workers: readonly SeenWorker[],
    batches: ReadonlyMap<string, PlannedBatch>,
    nowMs: number,
  ): Place | undefined {
    const { random, farRackFactor } = this.options;
    const candidates: PlannedCandidate[] = [];
    for (const seen of workers) {
      const startsInMs = roomInMs(seen, demand.needs.resources);
      if (startsInMs < Infinity) {
        const reachCost = batches.has(seen.dispatcherId) ? 0 : reachCosts[seen.nearness];
        candidates.push({ ...seen, free: freeOf(seen), startsInMs, reachCost, seen });
      }
    }
    const chosen = chooseWorker(demand, candidates, {
      nowMs,
      farRackFactor,
      random: () => random.next(),
    });
    return chosen === undefined
      ? undefined
      : {
          worker: chosen.candidate.seen,
          startsInMs: chosen.candidate.startsInMs,
          runMs: Math.round(chosen.expectedMs),
        };
  }
}

const freeOf = ({ free, profile }: SeenWorker): SeenWorker['free'] => ({
  ...free,
  cpuMillis: profile.free,
});
