/**
 * Divides the tasks of a step among the dispatchers, and tells when the last is expected to end.
 */
import { chooseWorker, expectedRunMs, hasRequiredLabel, isLate } from '../dispatch/workerChoice.js';
import type { TaskDemand } from '../dispatch/workerChoice.js';
import type { BatchTask } from '../dispatch/types.js';
import { fitsInto, subtractResources } from '../resources/resources.js';
import type { Clock } from '../ports/clock.js';
import type { Random } from '../ports/random.js';
import type { FleetView, SeenDispatcher, SeenWorker } from './fleetView.js';

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
  /** The room that the plan counts on. */
  readonly places: readonly PlannedPlace[];
}

/** Room at a worker, or work that waits at a dispatcher. */
export interface PlannedPlace {
  readonly dispatcherId: string;
  readonly workerId: string | undefined;
}

/** A place for one task. */
interface Place {
  readonly dispatcher: SeenDispatcher;
  readonly worker: SeenWorker | undefined;
  readonly endAtMs: number;
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
   * @returns the plan, or nothing if no dispatcher that is heard has a worker for it
   */
  plan(
    serviceId: string,
    demand: TaskDemand,
    tasks: readonly BatchTask[],
    avoided: ReadonlySet<string>,
  ): StepPlan | undefined {
    const { clock, view } = this.options;
    const nowMs = clock.nowMs();
    const dispatchers = view
      .dispatchers(serviceId)
      .filter(({ dispatcherId, workers }) => !avoided.has(dispatcherId) && workers.length > 0);
    const batches = new Map<string, PlannedBatch>();
    const places: PlannedPlace[] = [];
    let lastEndAtMs = nowMs;
    for (const task of tasks) {
      const place = this.choose(demand, dispatchers, nowMs);
      if (place === undefined) {
        return undefined;
      }
      const { dispatcherId } = place.dispatcher;
      const batch = batches.get(dispatcherId) ?? { dispatcherId, tasks: [] };
      batch.tasks.push(task);
      batches.set(dispatcherId, batch);
      lastEndAtMs = Math.max(lastEndAtMs, place.endAtMs);
      places.push({ dispatcherId, workerId: place.worker?.workerId });
      take(place, demand);
    }
    return { batches: [...batches.values()], lastEndAtMs, places };
  }

  /** Keeps the room of a plan that is carried out from the plans that follow. */
  commit({ places }: StepPlan, { needs, estimatedMs }: TaskDemand): void {
    const coreMs = (estimatedMs * needs.resources.cpuMillis) / 1_000;
    for (const { dispatcherId, workerId } of places) {
      this.options.view.reserve(dispatcherId, workerId, needs.resources, coreMs);
    }
  }

  private choose(
    demand: TaskDemand,
    dispatchers: readonly SeenDispatcher[],
    nowMs: number,
  ): Place | undefined {
    const now = this.placeNow(demand, dispatchers, nowMs);
    if (now !== undefined && !now.isLate) {
      return now.place;
    }
    const later = this.placeLater(demand, dispatchers, nowMs);
    if (now === undefined || later === undefined) {
      return now?.place ?? later;
    }
    return later.endAtMs < now.place.endAtMs ? later : now.place;
  }

  private placeNow(
    demand: TaskDemand,
    dispatchers: readonly SeenDispatcher[],
    nowMs: number,
  ): { readonly place: Place; readonly isLate: boolean } | undefined {
    const { random, farRackFactor } = this.options;
    const workers = dispatchers.flatMap((dispatcher) => dispatcher.workers);
    const chosen = chooseWorker(demand, workers, {
      nowMs,
      farRackFactor,
      random: () => random.next(),
    });
    const dispatcher = dispatchers.find(
      ({ dispatcherId }) => dispatcherId === chosen?.candidate.dispatcherId,
    );
    if (chosen === undefined || dispatcher === undefined) {
      return undefined;
    }
    const worker = chosen.candidate;
    const endAtMs = nowMs + worker.distanceMs + chosen.expectedMs;
    return { place: { dispatcher, worker, endAtMs }, isLate: isLate(demand, chosen, nowMs) };
  }

  /** Finds the dispatcher where a task that has to wait is expected to end first. */
  private placeLater(
    demand: TaskDemand,
    dispatchers: readonly SeenDispatcher[],
    nowMs: number,
  ): Place | undefined {
    let best: Place | undefined;
    for (const dispatcher of dispatchers) {
      const endAtMs = this.endAfterWait(demand, dispatcher, nowMs);
      if (endAtMs !== undefined && (best === undefined || endAtMs < best.endAtMs)) {
        best = { dispatcher, worker: undefined, endAtMs };
      }
    }
    return best;
  }

  private endAfterWait(
    demand: TaskDemand,
    { workers, distanceMs, nextEndInMs, waitingCoreMs }: SeenDispatcher,
    nowMs: number,
  ): number | undefined {
    const { needs } = demand;
    const fitting = workers.filter(
      ({ capacity, labels }) =>
        fitsInto(needs.resources, capacity) && hasRequiredLabel(needs, labels),
    );
    const runTimesMs = fitting.map((worker) =>
      expectedRunMs(demand, worker, this.options.farRackFactor),
    );
    if (runTimesMs.length === 0) {
      return undefined;
    }
    const cores = workers.reduce((sum, { capacity }) => sum + capacity.cpuMillis / 1_000, 0);
    const waitMs = nextEndInMs + waitingCoreMs / cores;
    return nowMs + distanceMs + waitMs + Math.min(...runTimesMs);
  }
}

/** Takes the room of a place off what the next task of the same plan sees. */
const take = ({ dispatcher, worker }: Place, demand: TaskDemand): void => {
  const { resources } = demand.needs;
  if (worker !== undefined) {
    worker.free = subtractResources(worker.free, resources);
    return;
  }
  dispatcher.waitingCoreMs += (demand.estimatedMs * resources.cpuMillis) / 1_000;
};
