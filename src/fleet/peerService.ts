/**
 * What a daemon serves to the other daemons of the fleet.
 */
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type {
  BatchRequest,
  BatchWithdrawal,
  CancellationReply,
  FleetService,
  HolderAnswer,
  JobCancellationRequest,
  JobQuestion,
} from '../ports/fleetPeers.js';
import type { RoutingStore } from '../routing/routingStore.js';
import type { BatchReply } from '../types/dispatch.js';
import type { FleetHeartbeat } from '../types/fleet.js';
import type { Routing } from '../types/routing.js';
import type { BatchIntake } from './batchIntake.js';
import type { FleetHeartbeatExchange } from './fleetHeartbeatExchange.js';
import type { FleetPeers } from './fleetPeers.js';
import type { HolderQuestions } from './holderQuestions.js';
import type { JobCancellation } from './jobCancellation.js';
import type { MessageAges } from './messageAges.js';
import type { StandstillDetector } from './standstillDetector.js';

export interface PeerServiceOptions {
  /** Ends what is from before a standstill of this process, before a message that waited is handled. */
  readonly standstills: Pick<StandstillDetector, 'check'>;
  readonly ages: MessageAges;
  readonly peers: FleetPeers;
  readonly heartbeatExchange: FleetHeartbeatExchange;
  readonly batchIntake: BatchIntake;
  readonly cancellation: JobCancellation;
  readonly questions: HolderQuestions;
  readonly dispatcher: Dispatcher;
  readonly routing: RoutingStore;
}

export class PeerService implements FleetService {
  private constructor(private readonly options: PeerServiceOptions) {}

  static create(options: PeerServiceOptions): PeerService {
    return new PeerService(options);
  }

  /** Handles a heartbeat of another daemon; the answer to a full heartbeat is full, too. */
  beat(theirs: FleetHeartbeat): FleetHeartbeat {
    this.options.standstills.check();
    const { ages, heartbeatExchange, peers } = this.options;
    const { member, sentAtMs } = theirs;
    // Also where another process is still taken for the one at that address.
    if (sentAtMs !== undefined && !ages.knows(member.incarnation)) {
      ages.recordHeartbeat(member.incarnation, sentAtMs);
    }
    peers.receiveHeartbeat(theirs);
    return heartbeatExchange.composeHeartbeat(
      theirs.member.incarnation,
      theirs.lengths !== undefined,
    );
  }

  /** Runs a batch that another daemon requests; the answer may be partial. */
  runBatch(request: BatchRequest): Promise<BatchReply> {
    this.options.standstills.check();
    const { ages, batchIntake, peers } = this.options;
    const { askedBy, sentAtMs } = request;
    peers.recordContact(askedBy, sentAtMs === undefined ? 0 : ages.ageMs(askedBy, sentAtMs));
    return batchIntake.run(request);
  }

  withdrawBatch({ batchId }: BatchWithdrawal): void {
    this.options.dispatcher.withdraw(batchId);
  }

  /** Cancels a job for a caller whose request reached another daemon. */
  cancelJob(cancellation: JobCancellationRequest): Promise<CancellationReply> {
    return this.options.cancellation.receive(cancellation);
  }

  /** Answers for a job that is held here, or asks its holder. */
  awaitJob(question: JobQuestion): Promise<HolderAnswer> {
    this.options.standstills.check();
    return this.options.questions.answer(question);
  }

  /** @returns the routing configuration in force, or null before the first */
  fetchRouting(): Routing | null {
    return this.options.routing.current?.routing ?? null;
  }
}
