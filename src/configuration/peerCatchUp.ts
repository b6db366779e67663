/**
 * Fetches the configuration from a peer that runs a higher version, for daemons that cannot reach the
 * log service.
 */
import type { Heartbeat } from '../types/membership.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { createDeferred } from '../utils/deferred.js';
import { checkConfiguration } from './checkConfiguration.js';
import type { ConfigurationFollower } from './configurationFollower.js';
import type { ConfigurationStore } from './configurationStore.js';

/** Time that the log service has to deliver a version before it is fetched from a peer. */
const logHeadStartMs = 500;
const fetchTimeoutMs = 2_000;
const retryPauseMs = 250;

export interface PeerCatchUpOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: ConfigurationStore;
  readonly follower: ConfigurationFollower;
  readonly peers: PeerSet;
}

export class PeerCatchUp {
  private readonly stop = new AbortController();
  private readonly logger: Logger;
  private readonly done: Promise<void>;
  /** Resolves once a peer reports a higher version than the one in force here. */
  private higherVersionSeen = createDeferred<undefined>();

  private constructor(private readonly options: PeerCatchUpOptions) {
    this.logger = options.logger.forPart('configuration');
    options.peers.onHeartbeat((heartbeat) => this.checkPeerVersion(heartbeat));
    this.done = this.run();
  }

  static create(options: PeerCatchUpOptions): PeerCatchUp {
    return new PeerCatchUp(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.higherVersionSeen.resolve(undefined);
    await this.done;
  }

  private checkPeerVersion({ configurationVersion }: Heartbeat): void {
    if (configurationVersion > this.options.store.version) {
      this.higherVersionSeen.resolve(undefined);
    }
  }

  private async run(): Promise<void> {
    const { clock, follower } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await this.higherVersionSeen.promise;
      this.higherVersionSeen = createDeferred();
      if (follower.isLogReachable) {
        await clock.sleep(logHeadStartMs, signal);
      }
      const peer = this.findMostAdvancedPeer();
      if (peer !== undefined) {
        await this.fetchFrom(peer);
        await clock.sleep(retryPauseMs, signal);
      }
    }
  }

  /** @returns the peer with the highest version, if that is higher than the one in force here */
  private findMostAdvancedPeer(): Heartbeat | undefined {
    let mostAdvanced: Heartbeat | undefined;
    let version = this.options.store.version;
    const reachablePeers = this.stop.signal.aborted ? [] : this.options.peers.reachablePeers();
    for (const heartbeat of reachablePeers) {
      if (heartbeat.configurationVersion > version) {
        mostAdvanced = heartbeat;
        version = heartbeat.configurationVersion;
      }
    }
    return mostAdvanced;
  }

  private async fetchFrom({ incarnation, vmId }: Heartbeat): Promise<void> {
    const signal = AbortSignal.any([this.stop.signal, AbortSignal.timeout(fetchTimeoutMs)]);
    const reply = await this.options.peers.linkTo(incarnation)?.fetchConfiguration(signal);
    if (reply === undefined || reply.isErr() || reply.value === null) {
      this.logger.warn('A peer with a higher version did not send it.', { vmId });
      return;
    }
    const checkpoint = reply.value;
    if (checkConfiguration(checkpoint.record.configuration).isErr()) {
      this.logger.warn('A peer sent a configuration that is not valid.', { vmId });
      return;
    }
    this.options.follower.adoptCheckpoint(checkpoint);
  }
}
