/**
 * The open connections of the clients to the daemons, which may be reset. A client whose connection is reset before its
 * request was read knows that nothing was done, and goes elsewhere at once.
 */
import { createDeferred } from '../../utils/deferred.js';

/** How a connection was reset: before or after its daemon had read the request. */
export type ConnectionReset = 'unread' | 'read';

export class ModelClientConnection {
  private readonly broken = createDeferred<ConnectionReset>();

  private constructor(private state: ConnectionReset) {}

  static create(): ModelClientConnection {
    return new ModelClientConnection('unread');
  }

  /** Resolves when the client learns that the connection was reset. */
  get wasReset(): Promise<ConnectionReset> {
    return this.broken.promise;
  }

  /** Records that the daemon has read the request. */
  markRead(): void {
    this.state = 'read';
  }

  reset(): void {
    this.broken.resolve(this.state);
  }
}

export class ModelClientConnections {
  private constructor(
    /** By the address of the daemon. */
    private readonly open: Map<string, Set<ModelClientConnection>>,
  ) {}

  static create(): ModelClientConnections {
    return new ModelClientConnections(new Map());
  }

  /** Opens a connection to a daemon. */
  connect(address: string): ModelClientConnection {
    const connection = ModelClientConnection.create();
    const connections = this.open.get(address) ?? new Set();
    this.open.set(address, connections.add(connection));
    return connection;
  }

  /** Forgets a connection that has ended. */
  forget(address: string, connection: ModelClientConnection): void {
    this.open.get(address)?.delete(connection);
  }

  /** Resets all connections to a daemon. */
  resetAll(address: string): void {
    this.open.get(address)?.forEach((connection) => connection.reset());
  }
}
