/** Inbound port: what the operators' interface asks of a daemon. */
import type { Heartbeat } from '../membership/types.js';

/** What a daemon tells operators about itself. */
export interface DaemonStatus {
  readonly own: Heartbeat;
  readonly peers: readonly Heartbeat[];
  readonly rememberedSubmissions: number;
}

export interface OperatorService {
  isReady(): boolean;
  describe(): DaemonStatus;
  /** Starts a planned stop. */
  drain(): void;
}
