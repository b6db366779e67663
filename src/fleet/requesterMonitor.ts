/**
 * Withdraws the batches of requesters whose lease is over, and confirms those of this daemon itself while it reads
 * what its callers send. One async function does so periodically.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import { unreachable } from '../errors/unreachable.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { sleepUntilNextPeriod } from '../utils/periodicSleep.js';
import type { CallerContact } from './callerContact.js';
import type { RequesterLeases } from './requesterLeases.js';
import { requesterCheckPeriodMs } from './requesterTimes.js';
import type { TaskSupervisor } from '../utils/taskSupervisor.js';

export interface RequesterMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Incarnation of this daemon, which needs no lease for its own runs. */
  readonly ownId: string;
  readonly contact: CallerContact;
  readonly leases: RequesterLeases;
  readonly dispatcher: Dispatcher;
  readonly supervisor: TaskSupervisor;
}

export class RequesterMonitor {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly checking: Promise<void>;

  private constructor(private readonly options: RequesterMonitorOptions) {
    this.logger = options.logger.forPart('fleet');
    this.checking = options.supervisor.keep(
      'checking the requesters',
      () => this.checkPeriodically(),
      this.stop.signal,
    );
  }

  static create(options: RequesterMonitorOptions): RequesterMonitor {
    return new RequesterMonitor(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.checking;
  }

  private async checkPeriodically(): Promise<void> {
    const { clock, contact, dispatcher, ownId } = this.options;
    while (!this.stop.signal.aborted) {
      await sleepUntilNextPeriod(clock, requesterCheckPeriodMs, this.stop.signal);
      await contact.read();
      dispatcher.confirm(ownId, () => true, contact.heldUpMs);
      for (const requester of dispatcher.requesters()) {
        if (requester !== ownId) {
          this.check(requester);
        }
      }
    }
  }

  private check(requester: string): void {
    const { dispatcher, leases } = this.options;
    const lease = leases.leaseOf(requester);
    switch (lease) {
      case 'held':
        return;
      case 'silent':
      case 'replaced': {
        const silenceMs = leases.silenceMs(requester);
        this.logger.warn('The lease of a requester is over.', {
          nodeId: requester,
          reason: lease,
          ...(Number.isFinite(silenceMs) ? { ageMs: Math.round(silenceMs) } : {}),
        });
        dispatcher.withdrawAll(requester);
        return;
      }
      default:
        return unreachable(lease);
    }
  }
}
