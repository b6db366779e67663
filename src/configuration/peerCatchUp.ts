/**
 * Fetches the configuration from a peer that runs a higher version, for daemons that the log does
 * not reach.
 */
import type { Heartbeat } from '../types/membership.js';
import type { PeerSet } from '../membership/peerSet.js';
import type { Clock } from '../ports/clock.js';
import type { Logger } from '../ports/logger.js';
import { createDeferred } from '../utils/deferred.js';
import { checkConfiguration } from './checkConfiguration.js';
import type { ConfigurationFollower } from './configurationFollower.js';
import type { ConfigurationStore } from './configurationStore.js';

/** Time that the log gets to bring a version before it is fetched from a peer. */
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
  private ahead = createDeferred<undefined>();

  private constructor(private readonly options: PeerCatchUpOptions) {
    this.logger = options.logger.forPart('configuration');
    options.peers.onHeartbeat((heartbeat) => this.note(heartbeat));
    this.done = this.run();
  }

  static create(options: PeerCatchUpOptions): PeerCatchUp {
    return new PeerCatchUp(options);
  }

  async close(): Promise<void> {
    this.stop.abort();
    this.ahead.resolve(undefined);
    await this.done;
  }

  private note({ configurationVersion }: Heartbeat): void {
    if (configurationVersion > this.options.store.version) {
      this.ahead.resolve(undefined);
    }
  }

  private async run(): Promise<void> {
    const { clock, follower } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      await this.ahead.promise;
      this.ahead = createDeferred();
      if (follower.isLogReachable) {
        await clock.sleep(logHeadStartMs, signal);
      }
      const peer = this.findAhead();
      if (peer !== undefined) {
        await this.fetchFrom(peer);
        await clock.sleep(retryPauseMs, signal);
      }
    }
  }

  /** Finds the peer with the highest version, if that is higher than the one in force here. */
  private findAhead(): Heartbeat | undefined {
    let ahead: Heartbeat | undefined;
    let version = this.options.store.version;
    const heard = this.stop.signal.aborted ? [] : this.options.peers.heard();
    for (const heartbeat of heard) {
      if (heartbeat.configurationVersion > version) {
        ahead = heartbeat;
        version = heartbeat.configurationVersion;
      }
    }
    return ahead;
  }

  private async fetchFrom({ incarnation, vmId }: Heartbeat): Promise<void> {
    const timeout = AbortSignal.any([this.stop.signal, AbortSignal.timeout(fetchTimeoutMs)]);
    const reply = await this.options.peers.linkTo(incarnation)?.fetchConfiguration(timeout);
    if (reply === undefined || reply.isErr() || reply.value === null) {
      this.logger.warn('A peer with a higher version did not send it.', { vmId });
      return;
    }
    const checkpoint = reply.value;
    if (checkConfiguration(checkpoint.record.configuration).isErr()) {
      this.logger.warn('A peer sent a configuration that is not valid.', { vmId });
      return;
    }
    this.options.follower.takeCheckpoint(checkpoint);
  }
}
