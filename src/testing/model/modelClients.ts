/**
 * The clients of the model: each submits a job to a daemon, leaves at its deadline, and sends the job again to
 * another daemon after no response, a broken channel or an answer that the job was given up.
 */
import { unreachable } from '../../errors/unreachable.js';
import type { AcceptedConnection, CancellationOutcome, JobEnd } from '../../ports/jobs.js';
import type { Route } from '../../types/routing.js';
import { abortQuietly } from '../../utils/abortQuietly.js';
import type { FakeClock } from '../fakeClock.js';
import { ModelClientConnections } from './modelClientConnections.js';
import type { ConnectionReset } from './modelClientConnections.js';
import type { ModelDaemon, RunningDaemon } from './modelDaemon.js';
import type { ModelJob } from './modelEvents.js';
import { latencyMs } from './modelNetwork.js';
import type { ModelNetwork } from './modelNetwork.js';

/** Time after which a client sends a job again, in milliseconds. */
const resendMs = 1_300;
/** Time after which a client goes elsewhere whose connection was reset before its request was read, in milliseconds. */
const reconnectMs = 10;
/** Time after which a process notices that a client has left, once it reads the connection. */
const closeNoticeMs = 3;
const defaultMaxAttempts = 4;
/** Time after which a client sends a cancellation again, in milliseconds. */
const cancellationRetryMs = 1_000;
const maxCancellationAttempts = 20;

/**
 * What a client learned of an attempt. `none`: no response before its deadline, or a broken connection. `unread`: its
 * connection was reset before the request was read.
 */
export type AttemptAnswer = JobEnd | { readonly kind: 'none' } | { readonly kind: 'unread' };

/** One attempt of a client to have a job run. */
export interface ModelAttempt {
  readonly attemptId: string;
  readonly jobId: string;
  /** Incarnation-independent address of the daemon. */
  readonly address: string;
  readonly sentAtMs: number;
  /** Undefined while the client waits. */
  answer: AttemptAnswer | undefined;
  answeredAtMs: number | undefined;
}

/** A cancellation that a client sent, and sends again at the next daemon while it is not confirmed. */
export interface ModelCancellation {
  readonly jobId: string;
  readonly sentAtMs: number;
  /** Address of the daemon that answered last. */
  address: string;
  /** The last answer; `none` before the first. */
  outcome: CancellationOutcome | 'none';
  answeredAtMs: number | undefined;
}

export interface ModelClientsOptions {
  readonly time: FakeClock;
  readonly network: ModelNetwork;
  readonly daemons: readonly ModelDaemon[];
  readonly route: Pick<Route, 'host' | 'pathPrefix'>;
}

export class ModelClients {
  readonly attempts: ModelAttempt[] = [];
  readonly cancellations: ModelCancellation[] = [];
  private readonly connections = ModelClientConnections.create();
  private waiting = 0;
  private cancelling = 0;

  private constructor(private readonly options: ModelClientsOptions) {}

  static create(options: ModelClientsOptions): ModelClients {
    return new ModelClients(options);
  }

  /** Number of clients whose job or cancellation has no final answer. */
  get waitingCount(): number {
    return this.waiting + this.cancelling;
  }

  /** Submits a job, to one daemon after the other until it has an answer. */
  async submit(jobId: string, job: ModelJob): Promise<void> {
    this.waiting += 1;
    await this.submitUntilAnswered(jobId, job);
    this.waiting -= 1;
  }

  /** Resets the connections of all clients to a daemon. */
  resetConnections(address: string): void {
    this.connections.resetAll(address);
  }

  /** Cancels a job, at one daemon after the other until it is confirmed. */
  async cancel(jobId: string, daemonIndex: number): Promise<void> {
    const { time } = this.options;
    const cancellation: ModelCancellation = {
      ...{ jobId, sentAtMs: time.nowMs(), address: this.daemonAt(daemonIndex).address },
      ...{ outcome: 'none', answeredAtMs: undefined },
    };
    this.cancellations.push(cancellation);
    this.cancelling += 1;
    for (let count = 0; count < maxCancellationAttempts; count += 1) {
      const daemon = this.daemonAt(daemonIndex + count);
      const outcome = await this.cancelAt(jobId, daemon);
      cancellation.address = daemon.address;
      cancellation.outcome = outcome;
      if (outcome === 'cancelled' || outcome === 'unknown') {
        cancellation.answeredAtMs = time.nowMs();
        break;
      }
      await time.sleep(cancellationRetryMs);
    }
    this.cancelling -= 1;
  }

  /** Sends a cancellation to a daemon. @returns its answer, `none` if it gives none in time */
  private async cancelAt(
    jobId: string,
    { current }: ModelDaemon,
  ): Promise<CancellationOutcome | 'none'> {
    if (current === undefined) {
      return 'none';
    }
    const { process, daemon } = current;
    const answered = new Promise<CancellationOutcome>((resolve) => {
      process.receive(() => void daemon.intake.cancel(jobId).then(resolve));
    });
    const over = new AbortController();
    const none = (): 'none' => 'none';
    const time = this.options.time.sleep(cancellationRetryMs, over.signal).then(none);
    const outcome = await Promise.race([answered, process.end.then(none), time]);
    abortQuietly(over);
    return outcome;
  }

  private async submitUntilAnswered(jobId: string, job: ModelJob): Promise<void> {
    const { maxAttempts = defaultMaxAttempts } = job;
    for (let count = 0; count < maxAttempts; count += 1) {
      const daemon = this.daemonAt(job.daemon + count * job.nextDaemonStep);
      const attempt: ModelAttempt = {
        attemptId: `${jobId}/${count}`,
        jobId,
        address: daemon.address,
        sentAtMs: this.options.time.nowMs(),
        answer: undefined,
        answeredAtMs: undefined,
      };
      this.attempts.push(attempt);
      attempt.answer = await this.attempt(attempt, daemon, job);
      attempt.answeredAtMs = this.options.time.nowMs();
      const next = resendOf(attempt.answer);
      if (next === 'never') {
        return;
      }
      await this.options.time.sleep(next === 'at-once' ? reconnectMs : resendMs);
    }
  }

  private daemonAt(index: number): ModelDaemon {
    const { daemons } = this.options;
    const daemon = daemons[index % daemons.length];
    if (daemon === undefined) {
      throw new Error('The model has no daemon.');
    }
    return daemon;
  }

  /** Sends a request, and waits for the answer until the deadline of the client. */
  private async attempt(
    attempt: ModelAttempt,
    daemon: ModelDaemon,
    job: ModelJob,
  ): Promise<AttemptAnswer> {
    const { time } = this.options;
    const { current, clientLink } = daemon;
    await time.sleep(latencyMs);
    if (current?.acceptsClients !== true || !current.process.isAlive) {
      return { kind: 'none' };
    }
    const { process } = current;
    const { connections } = this;
    const connection = connections.connect(daemon.address);
    const gone = new AbortController();
    let isRead: Promise<unknown> = Promise.resolve();
    const answered = new Promise<AttemptAnswer>((resolve) => {
      let accepted: AcceptedConnection | undefined;
      const accept = (): void => void (accepted = current.daemon.connections.accept());
      const read = (): void => {
        connection.markRead();
        const sentAtMs = accepted?.earliestSentAtMs();
        void this.serve(current, attempt, job, gone.signal, sentAtMs).then(resolve);
      };
      isRead = new Promise((done) => {
        clientLink.deliver('request', () => void process.accept(read, accept).then(done));
      });
    });
    const over = new AbortController();
    const none = (): AttemptAnswer => ({ kind: 'none' });
    const answer = await Promise.race([
      answered,
      process.end.then(none),
      connection.wasReset.then(answerOfReset),
      time.sleep(job.leavesAfterMs ?? job.deadlineMs, over.signal).then(none),
    ]);
    abortQuietly(over);
    connections.forget(daemon.address, connection);
    if (answer.kind === 'none' || answer.kind === 'unread') {
      void this.closeConnection(daemon, current, gone, isRead);
    }
    return answer;
  }

  /** The process notices the close a moment after it has read the request, also if it was frozen. */
  private async closeConnection(
    { clientLink }: ModelDaemon,
    { process }: RunningDaemon,
    gone: AbortController,
    isRead: Promise<unknown>,
  ): Promise<void> {
    await this.options.time.sleep(latencyMs);
    const read = (): void =>
      void process.afterReading(closeNoticeMs).then(() => abortQuietly(gone));
    clientLink.deliver('end', () => void isRead.then(() => process.receive(read)));
  }

  private async serve(
    { daemon }: RunningDaemon,
    { attemptId, jobId }: ModelAttempt,
    job: ModelJob,
    signal: AbortSignal,
    earliestSentAtMs: number | undefined,
  ): Promise<AttemptAnswer> {
    const { tasks, runMs, estimatedMs, cpuMillis, requiredLabel, deadlineMs } = job;
    const { isFailing = false, isDeadly = false } = job;
    const { host, pathPrefix } = this.options.route;
    const match = daemon.intake.findRoute(host, `${pathPrefix}${jobId}`);
    if (match.kind !== 'found') {
      return { kind: 'refused', reason: 'no route', retryAfterMs: 1_000 };
    }
    const resources = { cpuMillis, memoryMb: 64, accelerators: 0 };
    const request = {
      jobId,
      spec: JSON.stringify({ attempt: attemptId, runMs, cpuMillis, isFailing, isDeadly }),
      steps: [{ taskCount: tasks, estimatedMs, after: [], needs: { resources, requiredLabel } }],
      unsupported: [],
    };
    const { intake } = daemon;
    const end = await intake.submit(match.route, request, deadlineMs, signal, earliestSentAtMs);
    await this.options.time.sleep(latencyMs);
    return end;
  }
}

/** What a client learns from the reset of its connection. */
const answerOfReset = (reset: ConnectionReset): AttemptAnswer =>
  reset === 'unread' ? { kind: 'unread' } : { kind: 'none' };

/** When a client sends its job again after an answer. */
const resendOf = (answer: AttemptAnswer): 'never' | 'later' | 'at-once' => {
  switch (answer.kind) {
    case 'none':
    case 'given-up':
      return 'later';
    case 'unread':
      return 'at-once';
    case 'completed':
    case 'failed':
    case 'refused':
    case 'cancelled':
      return 'never';
    default:
      return unreachable(answer);
  }
};
