/** Port to the other daemons: what one daemon asks of another. */
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import type { ConfigurationRecord } from '../configuration/types.js';
import { configurationRecordSchema } from '../configuration/types.js';
import { problemSchema } from '../errors/problem.js';
import { jobAnswerSchema, submissionSchema } from '../jobs/types.js';
import type { Heartbeat } from '../membership/types.js';
import { heartbeatSchema } from '../membership/types.js';

/** Version of the peers' messages; a peer with another version is refused. */
export const peerProtocolVersion = 1;

/** A submission that goes to the daemon which owns its key. */
export const forwardedSubmissionSchema = z.object({
  callerId: z.string().max(64),
  key: z.string().max(256),
  submission: submissionSchema,
});
export type ForwardedSubmission = z.infer<typeof forwardedSubmissionSchema>;

/** What the intake makes of a submission. */
export const submitOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answered'), answer: jobAnswerSchema }),
  z.object({ kind: z.literal('refused'), problem: problemSchema }),
]);
export type SubmitOutcome = z.infer<typeof submitOutcomeSchema>;

/** Requests between daemons; the answer of each is in `peerMethods`. */
export const peerMethods = {
  heartbeat: { params: heartbeatSchema, result: heartbeatSchema },
  forward: { params: forwardedSubmissionSchema, result: submitOutcomeSchema },
  fetchConfiguration: {
    params: z.object({}),
    result: z.object({ record: configurationRecordSchema.nullable() }),
  },
} as const;

export interface PeerError {
  /** `not-sent`: nothing reached the peer. `broken`: the peer may have acted. */
  readonly kind: 'not-sent' | 'broken' | 'refused';
  readonly detail: string;
}

/** The link to one peer. */
export interface PeerLink {
  heartbeat(own: Heartbeat, signal: AbortSignal): Promise<Result<Heartbeat, PeerError>>;
  forward(
    request: ForwardedSubmission,
    signal: AbortSignal,
  ): Promise<Result<SubmitOutcome, PeerError>>;
  fetchConfiguration(signal: AbortSignal): Promise<Result<ConfigurationRecord | null, PeerError>>;
  close(): Promise<void>;
}

/** Opens links to peers. */
export interface PeerConnector {
  /**
   * Opens a link.
   *
   * @param address - IP number and port of the peers' interface, from the VM list or a peer
   */
  connect(address: string): PeerLink;
}

/** What a daemon serves to its peers. */
export interface PeerService {
  heartbeat(theirs: Heartbeat): Heartbeat;
  forward(request: ForwardedSubmission): Promise<SubmitOutcome>;
  fetchConfiguration(): ConfigurationRecord | null;
}
