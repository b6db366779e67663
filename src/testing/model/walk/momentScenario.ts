/**
 * The scenario of one moment of a walk.
 */
import type { ModelEvent, Scenario } from '../modelEvents.js';

/** Adds events to a calm scenario. Each moment has its own seed; at every second one, starts state the lifetime. */
export const createMomentScenario = (
  calm: Scenario,
  moment: number,
  events: readonly ModelEvent[],
): Scenario => ({
  ...calm,
  seed: moment,
  startsStateLifetime: moment % 2 === 0,
  events: [...calm.events, ...events],
});
