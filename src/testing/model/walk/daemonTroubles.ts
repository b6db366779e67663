/**
 * The troubles of daemons that a walk combines with those of workers.
 */
import type { CutDirection, ModelEvent } from '../modelEvents.js';
import type { Trouble, TroublePlace } from './troubles.js';

type Role = 'requester' | 'dispatcher';

const shortDownMs = 455;
const longDownMs = 3_000;
const cutMs = 2_500;
const freezeTimesMs = [300, 900, 1_100, 3_000];
const suspensionTimesMs = [900, 3_000];

/** Events of the daemon in a role. */
const atRole = (
  name: string,
  role: Role,
  createEvent: (daemon: number, atMs: number) => ModelEvent,
): Trouble => ({
  name: `${name} of ${role}`,
  createEvents: (place, atMs) => [createEvent(place[role], atMs)],
});

const endsOf = (role: Role): Trouble[] => [
  atRole('stop', role, (daemon, atMs) => ({
    ...{ kind: 'stop', atMs, daemon, downMs: longDownMs },
  })),
  atRole('kill, short', role, (daemon, atMs) => ({
    ...{ kind: 'kill', atMs, daemon, downMs: shortDownMs },
  })),
  atRole('kill, long', role, (daemon, atMs) => ({
    ...{ kind: 'kill', atMs, daemon, downMs: longDownMs },
  })),
];

const standstillsOf = (role: Role): Trouble[] => [
  ...freezeTimesMs.map((forMs) =>
    atRole(`freeze ${forMs} ms`, role, (daemon, atMs) => ({ kind: 'freeze', atMs, daemon, forMs })),
  ),
  ...suspensionTimesMs.map((forMs) =>
    atRole(`suspension ${forMs} ms`, role, (daemon, atMs) => ({
      ...{ kind: 'suspend', atMs, daemon, forMs },
    })),
  ),
];

const storeCutsOf = (role: Role): Trouble[] => [
  atRole('cut from store', role, (daemon, atMs) => ({
    ...{ kind: 'cut-store', atMs, daemon, forMs: longDownMs },
  })),
  atRole('cut from store, answers lost', role, (daemon, atMs) => ({
    ...{ kind: 'cut-store', atMs, daemon, direction: 'back', forMs: longDownMs },
  })),
];

/** A cut between the requester and the dispatcher; between the requester and all others, if it dispatches itself. */
const cutRequester =
  (fault: 'silent' | 'held-up', direction?: CutDirection) =>
  ({ requester, dispatcher, daemonCount }: TroublePlace, atMs: number): ModelEvent[] =>
    Array.from({ length: daemonCount }, (_, daemon) => daemon)
      .filter((other) => other !== requester)
      .filter((other) => other === dispatcher || requester === dispatcher)
      .map((other) => ({
        ...{ kind: 'cut-daemons', atMs, daemon: requester, other, fault, direction, forMs: cutMs },
      }));

const cuts: readonly Trouble[] = [
  { name: 'cut of requester, silent', createEvents: cutRequester('silent') },
  { name: 'cut of requester, held up', createEvents: cutRequester('held-up') },
  { name: 'cut, from requester only', createEvents: cutRequester('silent', 'out') },
  { name: 'cut, to requester only', createEvents: cutRequester('silent', 'back') },
  { name: 'cut, from requester held up', createEvents: cutRequester('held-up', 'out') },
];

const troublesOf = (role: Role): Trouble[] => [
  ...endsOf(role),
  ...standstillsOf(role),
  ...storeCutsOf(role),
];

export const requesterTroubles: readonly Trouble[] = [...troublesOf('requester'), ...cuts];
export const dispatcherTroubles: readonly Trouble[] = troublesOf('dispatcher');
export const daemonTroubles: readonly Trouble[] = [...requesterTroubles, ...dispatcherTroubles];
