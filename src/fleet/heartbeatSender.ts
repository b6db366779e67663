/**
 * Sends heartbeats to the peers. One async function for each peer does so while this daemon keeps contact.
 */
import type { Clock } from '../ports/clock.js';
import type { FleetHeartbeat } from '../types/fleet.js';
import { sleepUntilSharedPeriod } from '../utils/periodicSleep.js';
import type { FleetPeer } from './fleetPeer.js';
import type { HeartbeatDuty } from './heartbeatDuty.js';
import type { PeerRelations } from './peerRelations.js';
import { heartbeatTickMs } from './requesterTimes.js';

const heartbeatTimeoutMs = 250;
/** Least time between two full heartbeats to a peer, in milliseconds. */
const fullHeartbeatPeriodMs = 1_500;
/** Pause between heartbeats to a peer that is not reachable, in milliseconds. */
const retryPeriodMs = 500;

export interface HeartbeatSenderOptions {
  readonly clock: Clock;
  readonly relations: PeerRelations;
  readonly duty: HeartbeatDuty;
  /** Composes a heartbeat for the process with this incarnation, if it is known. */
  readonly composeHeartbeat: (peer: string | undefined, isFull: boolean) => FleetHeartbeat;
  /** Called with the heartbeat that a peer answers. */
  readonly onAnswer: (heartbeat: FleetHeartbeat) => void;
  /** Called with the time that an exchange of heartbeats took, in milliseconds. */
  readonly onRoundTrip: (incarnation: string, durationMs: number) => void;
  /** Called when a process did not answer a heartbeat in time; it may still be reachable. */
  readonly onSuspect: (incarnation: string) => void;
}

export class HeartbeatSender {
  private constructor(private readonly options: HeartbeatSenderOptions) {}

  static create(options: HeartbeatSenderOptions): HeartbeatSender {
    return new HeartbeatSender(options);
  }

  /** Sends heartbeats to one peer, where this is needed, until the peer is removed. */
  async exchangeWith(peer: FleetPeer): Promise<void> {
    const { clock, duty, relations } = this.options;
    while (!peer.stop.signal.aborted) {
      const isDue = duty.mustSend(peer);
      if (isDue) {
        await this.send(peer);
      }
      const hasMore = isDue && peer.hasNews;
      if (!hasMore) {
        const periodMs = relations.isReachable(peer) ? heartbeatTickMs : retryPeriodMs;
        await sleepUntilSharedPeriod(clock, periodMs, peer.beginPause());
      }
    }
  }

  private async send(peer: FleetPeer): Promise<void> {
    const { clock, composeHeartbeat, onAnswer, onRoundTrip, onSuspect } = this.options;
    const nowMs = clock.nowMs();
    peer.lastSentAtMs = nowMs;
    peer.isDisputed = false;
    peer.hasNews = false;
    const isFull = nowMs - peer.lastFullHeartbeatAtMs >= fullHeartbeatPeriodMs;
    if (isFull) {
      peer.lastFullHeartbeatAtMs = nowMs;
    }
    const own = composeHeartbeat(peer.incarnation, isFull);
    const sent = peer.describeSent(nowMs);
    const reply = await peer.link.beat(own, heartbeatTimeoutMs);
    if (reply.isOk()) {
      onRoundTrip(reply.value.member.incarnation, clock.nowMs() - nowMs);
      onAnswer(reply.value);
      return;
    }
    if (reply.error.isNobodyThere === true) {
      peer.recordEnd('refused', sent, clock.nowMs());
    }
    peer.unansweredHeartbeats += 1;
    if (peer.incarnation !== undefined) {
      onSuspect(peer.incarnation);
    }
  }
}
