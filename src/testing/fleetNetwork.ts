/**
 * Connects the daemons of a fleet in memory. Calls of a killed daemon and calls to it fail, and
 * a test can cut daemons off, silence them, or let them lack a method.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { FleetConnector, FleetLink, FleetService } from '../ports/fleetPeers.js';
import type { PeerError } from '../ports/peers.js';
import type { FakeClock } from './fakeClock.js';

/** A daemon that can be called. */
export interface NetworkedDaemon {
  readonly service: FleetService;
  /** Aborted when the process is killed. */
  readonly killed: AbortSignal;
}

/** A call from one daemon to another. */
interface FleetCall<T> {
  readonly method: keyof FleetLink;
  /** Addresses of the caller and of the daemon called. */
  readonly from: string;
  readonly to: string;
  readonly callerKilled: AbortSignal;
  readonly timeoutMs: number;
  readonly act: (service: FleetService) => T | Promise<T>;
}

const refused: PeerError = {
  kind: 'not-sent',
  detail: 'connection refused',
  isNobodyThere: true,
};
const broken: PeerError = { kind: 'broken', detail: 'the connection is gone' };

export class FleetNetwork {
  /** Calls between daemons, as method, address of the caller and address of the daemon called. */
  readonly calls: string[] = [];
  /** Addresses of daemons that answer no call. */
  readonly silent = new Set<string>();
  /** Addresses of daemons that are cut off: no call to or from them is answered. */
  readonly cutOff = new Set<string>();
  /** Addresses of daemons that do not know the methods `cancelJob` and `awaitJob`. */
  readonly earlierVersions = new Set<string>();
  /** By address. */
  private readonly daemons = new Map<string, NetworkedDaemon>();

  private constructor(private readonly clock: FakeClock) {}

  static create(clock: FakeClock): FleetNetwork {
    return new FleetNetwork(clock);
  }

  /** Lets calls to an address reach a daemon; one that was there before is reached no more. */
  attach(address: string, daemon: NetworkedDaemon): void {
    this.daemons.set(address, daemon);
  }

  /**
   * Creates the connector of one daemon.
   *
   * @param from - address of the daemon
   * @param callerKilled - aborted when its process is killed
   */
  connectorOf(from: string, callerKilled: AbortSignal): FleetConnector {
    return {
      connect: (to): FleetLink => {
        const call = <T>(
          method: keyof FleetLink,
          timeoutMs: number,
          act: (service: FleetService) => T | Promise<T>,
        ) => this.call({ method, from, to, callerKilled, timeoutMs, act });
        return {
          beat: (own, timeoutMs) => call('beat', timeoutMs, (service) => service.beat(own)),
          runBatch: (request, timeoutMs) =>
            call('runBatch', timeoutMs, (service) => service.runBatch(request)),
          withdrawBatch: (withdrawal, timeoutMs) =>
            call('withdrawBatch', timeoutMs, (service) => service.withdrawBatch(withdrawal)),
          cancelJob: (cancellation, timeoutMs) =>
            this.earlierVersions.has(to)
              ? Promise.resolve(Err({ kind: 'refused', detail: 'Method not found' }))
              : call('cancelJob', timeoutMs, (service) => service.cancelJob(cancellation)),
          awaitJob: (question, timeoutMs) =>
            this.earlierVersions.has(to)
              ? Promise.resolve(Err({ kind: 'refused', detail: 'Method not found' }))
              : call('awaitJob', timeoutMs, (service) => service.awaitJob(question)),
          fetchRouting: (timeoutMs) =>
            call('fetchRouting', timeoutMs, (service) => service.fetchRouting()),
          close: () => Promise.resolve(),
        };
      },
    };
  }

  /** Calls a daemon; the call is broken when its time is over or one of the two is killed. */
  private async call<T>(call: FleetCall<T>): Promise<Result<T, PeerError>> {
    const { method, from, to, callerKilled, timeoutMs, act } = call;
    const callee = this.daemons.get(to);
    if (callee === undefined || callee.killed.aborted || callerKilled.aborted) {
      return Err(refused);
    }
    this.calls.push(`${method} ${from} ${to}`);
    const ended = new AbortController();
    const gone = new Promise<Result<T, PeerError>>((resolve) => {
      const breakCall = (): void => resolve(Err(broken));
      callee.killed.addEventListener('abort', breakCall, { signal: ended.signal });
      callerKilled.addEventListener('abort', breakCall, { signal: ended.signal });
    });
    const isOver = this.clock
      .sleep(timeoutMs, ended.signal)
      .then((): Result<T, PeerError> => Err(broken));
    const isAnswered = ![from, to].some((one) => this.cutOff.has(one)) && !this.silent.has(to);
    const answer = answerOf(isAnswered, () => act(callee.service));
    const result = await Promise.race([answer, gone, isOver]);
    ended.abort();
    return result;
  }
}

const answerOf = async <T>(
  isAnswered: boolean,
  act: () => T | Promise<T>,
): Promise<Result<T, PeerError>> => (isAnswered ? Ok(await act()) : new Promise(() => undefined));
