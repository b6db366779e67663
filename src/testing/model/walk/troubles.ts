/**
 * What a trouble of a walk is: events that make one daemon or one worker fail from a moment on.
 */
import type { ModelEvent } from '../modelEvents.js';

/** Whom the troubles of a walk hit, by their indices. */
export interface TroublePlace {
  /** The daemon that accepts the job. */
  readonly requester: number;
  /** A daemon that starts tasks of the job; the requester itself in some situations. */
  readonly dispatcher: number;
  /** A worker of the dispatcher that runs a task of the job. */
  readonly worker: number;
  readonly daemonCount: number;
}

export interface Trouble {
  readonly name: string;
  readonly createEvents: (place: TroublePlace, atMs: number) => ModelEvent[];
}
