/**
 * Carries out the events of the model.
 */
import { unreachable } from '../../errors/unreachable.js';
import type { InboundFault, ModelEvent } from './modelEvents.js';
import type { ModelFleet } from './modelFleet.js';
import type { LinkFault } from './modelNetwork.js';
import { storeName } from './modelStore.js';
import type { ModelWorker } from './modelWorker.js';

/** Port of an address that no connection can be opened to. */
const badPort = 99_999;
/** Time after which a worker that is late carries an order out, in milliseconds, unless the event states it. */
const defaultLateByMs = 700;

/** Carries out an event now, and schedules what follows from it. */
export const applyEvent = (fleet: ModelFleet, event: ModelEvent, submissions: number): void => {
  switch (event.kind) {
    case 'submit':
      void fleet.clients.submit(fleet.jobIdAt(submissions), event.job);
      return;
    case 'cancel':
      void fleet.clients.cancel(fleet.jobIdAt(event.job), event.daemon);
      return;
    case 'stop': {
      const daemon = fleet.daemon(event.daemon);
      const restart = (): void => fleet.at(fleet.elapsedMs + event.downMs, () => daemon?.start());
      void daemon?.stop().then(restart);
      return;
    }
    case 'kill': {
      const daemon = fleet.daemon(event.daemon);
      daemon?.kill();
      fleet.at(event.atMs + event.downMs, () => daemon?.start());
      return;
    }
    case 'freeze': {
      const daemon = fleet.daemon(event.daemon);
      daemon?.freeze();
      fleet.at(event.atMs + event.forMs, () => daemon?.thaw());
      return;
    }
    case 'suspend': {
      const daemon = fleet.daemon(event.daemon);
      daemon?.suspend();
      fleet.at(event.atMs + event.forMs, () => daemon?.thaw());
      return;
    }
    case 'inbound':
      return delayInbound(fleet, event);
    case 'reset':
      fleet.clients.resetConnections(addressOf(fleet, event.daemon));
      return;
    case 'slow':
      return slowDaemons(fleet, event);
    case 'cut':
      return cutWorker(fleet, event);
    case 'cut-daemons': {
      const { daemon, other, fault } = event;
      return cutLink(fleet, event, fault, addressOf(fleet, daemon), addressOf(fleet, other));
    }
    case 'cut-store':
      return cutLink(fleet, event, 'silent', addressOf(fleet, event.daemon), storeName);
    case 'crash': {
      const worker = fleet.findWorker(event.worker);
      worker?.crash(event.down);
      fleet.at(event.atMs + event.downMs, () => worker?.start(event.next));
      return;
    }
    case 'expire-entry': {
      const worker = fleet.findWorker(event.worker);
      worker?.loseStore();
      fleet.at(event.atMs + event.forMs, () => worker?.reachStore());
      return;
    }
    case 'drain': {
      const worker = fleet.findWorker(event.worker);
      worker?.drain();
      fleet.at(event.atMs + event.drainMs, () => worker?.leave());
      return;
    }
    case 'worker-fault': {
      const worker = fleet.findWorker(event.worker);
      if (worker !== undefined) {
        worker.fault = event.fault;
        worker.lateByMs = event.lateByMs ?? defaultLateByMs;
        fleet.at(event.atMs + event.forMs, () => void (worker.fault = undefined));
      }
      return;
    }
    case 'invalid-entry':
      return writeInvalidEntry(fleet, event.form, fleet.findWorker(event.worker));
    default:
      return unreachable(event);
  }
};

const delayInbound = (
  fleet: ModelFleet,
  { atMs, daemon, fault, forMs }: Extract<ModelEvent, { kind: 'inbound' }>,
): void => {
  const address = addressOf(fleet, daemon);
  const setFault = (active: InboundFault | undefined): void => {
    fleet.daemon(daemon)?.clientLink.setFault(active);
    fleet.network.setDelayTo(address, active?.kind === 'late-all' ? active.byMs : 0);
  };
  setFault(fault);
  fleet.at(atMs + forMs, () => setFault(undefined));
};

const addressOf = (fleet: ModelFleet, index: number): string => fleet.daemon(index)?.address ?? '';

const slowDaemons = (
  fleet: ModelFleet,
  { atMs, daemon, turnsMs, forMs }: Extract<ModelEvent, { kind: 'slow' }>,
): void => {
  const slow = daemon === null ? fleet.daemons : [fleet.daemon(daemon)];
  slow.forEach((one) => one?.slowDown(turnsMs));
  fleet.at(atMs + forMs, async () => {
    for (const one of slow) {
      await one?.speedUp();
    }
  });
};

const cutLink = (
  fleet: ModelFleet,
  { atMs, forMs, direction }: Extract<ModelEvent, { kind: 'cut-daemons' | 'cut-store' }>,
  fault: LinkFault,
  a: string,
  b: string,
): void => {
  fleet.network.setFault(a, b, fault, direction);
  fleet.at(atMs + forMs, () => fleet.network.setFault(a, b, undefined, direction));
};

const cutWorker = (
  fleet: ModelFleet,
  { atMs, worker, daemon, fault, direction, forMs }: Extract<ModelEvent, { kind: 'cut' }>,
): void => {
  const cut = fleet.findWorker(worker);
  const daemons = daemon === null ? fleet.daemons : [fleet.daemon(daemon)];
  for (const address of daemons.flatMap((one) => one?.address ?? [])) {
    const workerId = cut?.workerId ?? '';
    fleet.network.setFault(address, workerId, fault, direction);
    fleet.at(atMs + forMs, () => fleet.network.setFault(address, workerId, undefined, direction));
  }
};

const writeInvalidEntry = (
  fleet: ModelFleet,
  form: Extract<ModelEvent, { kind: 'invalid-entry' }>['form'],
  worker: ModelWorker | undefined,
): void => {
  switch (form) {
    case 'unreadable':
      fleet.store.publishUnreadable(worker?.workerId ?? 'i-odd');
      return;
    case 'bad-port':
      worker?.publishElsewhere(`i-invalid-${fleet.elapsedMs}`, `10.0.2.1:${badPort}`);
      return;
    case 'without-start':
      worker?.omitStart();
      return;
    default:
      return unreachable(form);
  }
};
