/**
 * When the faults of a scenario are over.
 */
import { unreachable } from '../../errors/unreachable.js';
import { stopGraceMs } from './modelDaemon.js';
import type { ModelEvent } from './modelEvents.js';

/** @returns the time at which the last fault has ended, in milliseconds from the begin of the scenario */
export const findCalmSinceMs = (events: readonly ModelEvent[]): number =>
  Math.max(0, ...events.map(endOf));

const endOf = (event: ModelEvent): number => {
  const { atMs } = event;
  switch (event.kind) {
    case 'submit':
    case 'cancel':
    case 'invalid-entry':
    case 'reset':
      return atMs;
    case 'stop':
      return atMs + stopGraceMs + event.downMs;
    case 'kill':
    case 'crash':
      return atMs + event.downMs;
    case 'freeze':
    case 'suspend':
    case 'slow':
    case 'cut':
    case 'cut-daemons':
    case 'cut-store':
    case 'worker-fault':
    case 'expire-entry':
    case 'inbound':
      return atMs + event.forMs;
    case 'drain':
      return atMs + event.drainMs;
    default:
      return unreachable(event);
  }
};
