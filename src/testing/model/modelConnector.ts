/**
 * The links between the daemons of the model.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { FleetConnector, FleetLink, FleetService } from '../../ports/fleetPeers.js';
import type { PeerError } from '../../ports/peers.js';
import type { CallResult, ModelNetwork } from './modelNetwork.js';
import type { ModelProcess } from './modelProcess.js';

/** A process that serves the peers' interface at an address. */
export interface ModelServer {
  readonly process: ModelProcess;
  readonly service: FleetService;
}

export interface ModelConnectorOptions {
  readonly network: ModelNetwork;
  readonly process: ModelProcess;
  /** Finds the process that serves an address now. */
  readonly findServer: (address: string) => ModelServer | undefined;
}

export class ModelConnector implements FleetConnector {
  private constructor(private readonly options: ModelConnectorOptions) {}

  static create(options: ModelConnectorOptions): ModelConnector {
    return new ModelConnector(options);
  }

  connect(address: string): FleetLink {
    const call = <T>(
      timeoutMs: number,
      serve: (service: FleetService) => T | Promise<T>,
    ): Promise<Result<T, PeerError>> => this.call(address, timeoutMs, serve);
    return {
      beat: (own, timeoutMs) => {
        const heartbeat = structuredClone(own);
        return call(timeoutMs, (service) => service.beat(heartbeat));
      },
      runBatch: (request, timeoutMs) => {
        const copy = structuredClone(request);
        return call(timeoutMs, (service) => service.runBatch(copy));
      },
      withdrawBatch: (withdrawal, timeoutMs) =>
        call(timeoutMs, (service) => service.withdrawBatch(withdrawal)),
      cancelJob: (cancellation, timeoutMs) =>
        call(timeoutMs, (service) => service.cancelJob(cancellation)),
      awaitJob: (question, timeoutMs) => call(timeoutMs, (service) => service.awaitJob(question)),
      fetchRouting: (timeoutMs) => call(timeoutMs, (service) => service.fetchRouting()),
      close: async () => undefined,
    };
  }

  private async call<T>(
    address: string,
    timeoutMs: number,
    serve: (service: FleetService) => T | Promise<T>,
  ): Promise<Result<T, PeerError>> {
    const { network, process, findServer } = this.options;
    const result = await network.call({
      caller: process,
      callee: address,
      timeoutMs,
      isListening: () => findServer(address) !== undefined,
      carryOut: () => carryOut(findServer(address), serve),
    });
    return result.kind === 'answered' ? Ok(result.value) : Err(errorOf(result));
  }
}

/** A call is sent to every process that listens; the links between daemons refuse nothing. */
const errorOf = ({ kind }: Exclude<CallResult<unknown>, { kind: 'answered' }>): PeerError =>
  kind === 'not-sent'
    ? { kind, detail: 'connection refused', isNobodyThere: true }
    : { kind: 'broken', detail: kind };

/** Serves a call once the process runs; rejects if the process ends before the answer. */
const carryOut = <T>(
  server: ModelServer | undefined,
  serve: (service: FleetService) => T | Promise<T>,
): Promise<T> =>
  new Promise((resolve, reject) => {
    if (server === undefined) {
      reject(new Error('connection reset'));
      return;
    }
    const { process, service } = server;
    const answer = async (): Promise<void> => {
      const reply = structuredClone(await serve(service));
      await process.departure;
      resolve(reply);
    };
    process.receive(() => void answer());
    void process.end.then(() => reject(new Error('connection reset')));
  });
