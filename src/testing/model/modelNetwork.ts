/**
 * The network of the model: calls between processes and workers, with the faults of the links between them.
 */
import { abortQuietly } from '../../utils/abortQuietly.js';
import { createDeferred } from '../../utils/deferred.js';
import type { Deferred } from '../../utils/deferred.js';
import type { FakeClock } from '../fakeClock.js';
import type { CutDirection } from './modelEvents.js';
import type { ModelProcess } from './modelProcess.js';

/** Time that a message takes on a link without fault, in milliseconds. */
export const latencyMs = 1;

/**
 * `silent`: messages are lost. `refusing`: connections are refused at once. `held-up`: messages arrive when the
 * fault is over.
 */
export type LinkFault = 'silent' | 'refusing' | 'held-up';

interface ActiveFault {
  readonly fault: LinkFault;
  /** Resolved when the fault is over. */
  readonly over: Deferred<undefined>;
}

/** How a call ended. */
export type CallResult<T> =
  | { readonly kind: 'answered'; readonly value: T }
  /** Nothing was sent. */
  | { readonly kind: 'not-sent' }
  /** The callee ended before its answer, and the caller saw the connection close. */
  | { readonly kind: 'disconnected' }
  /** It may have been carried out. */
  | { readonly kind: 'no-answer' };

/** One call, as the network sees it. */
export interface ModelCall<T> {
  readonly caller: ModelProcess;
  /** Name of the party that is called. */
  readonly callee: string;
  readonly timeoutMs: number;
  /** Whether the callee accepts connections. */
  readonly isListening: () => boolean;
  /** Breaks the connection. */
  readonly signal?: AbortSignal;
  /** Carries the call out at the callee; rejects if the connection breaks before the answer. */
  readonly carryOut: () => Promise<T>;
}

export class ModelNetwork {
  /** By the names of the sender and of the receiver. */
  private readonly faults = new Map<string, ActiveFault>();
  /** Additional delays of what is sent to a party, in milliseconds. */
  private readonly delaysMs = new Map<string, number>();

  private constructor(private readonly time: FakeClock) {}

  static create(time: FakeClock): ModelNetwork {
    return new ModelNetwork(time);
  }

  /** Sets the fault of a link between two parties, or ends it; in a direction, only that of one's messages. */
  setFault(a: string, b: string, fault: LinkFault | undefined, direction?: CutDirection): void {
    if (direction !== 'back') {
      this.setFaultOf(senderKey(a, b), fault);
    }
    if (direction !== 'out') {
      this.setFaultOf(senderKey(b, a), fault);
    }
  }

  /** Delays what is sent to a party by a time beyond the latency, in milliseconds. */
  setDelayTo(receiver: string, delayMs: number): void {
    this.delaysMs.set(receiver, delayMs);
  }

  private setFaultOf(key: string, fault: LinkFault | undefined): void {
    this.faults.get(key)?.over.resolve(undefined);
    this.faults.delete(key);
    if (fault !== undefined) {
      this.faults.set(key, { fault, over: createDeferred<undefined>() });
    }
  }

  /** Makes a call; the caller learns its result when it runs. */
  call<T>(call: ModelCall<T>): Promise<CallResult<T>> {
    return new Promise((resolve) => {
      const timer = new AbortController();
      const settle = (result: CallResult<T>): void => {
        abortQuietly(timer);
        call.signal?.removeEventListener('abort', noAnswer);
        resolve(result);
      };
      const noAnswer = (): void => settle({ kind: 'no-answer' });
      void call.caller.clock.sleep(call.timeoutMs, timer.signal).then(noAnswer);
      call.signal?.addEventListener('abort', noAnswer, { once: true });
      void this.exchange(call).then((result) => {
        if (result !== undefined) {
          call.caller.receive(() => settle(result));
        }
      });
    });
  }

  /** @returns how the call ended, or nothing if no answer ever comes */
  private async exchange<T>(call: ModelCall<T>): Promise<CallResult<T> | undefined> {
    const { caller, callee, isListening, carryOut } = call;
    await caller.departure;
    if (!caller.isAlive) {
      return undefined;
    }
    if (this.faults.get(senderKey(caller.name, callee))?.fault === 'refusing') {
      await this.time.sleep(latencyMs);
      return { kind: 'not-sent' };
    }
    if (!(await this.pass(caller.name, callee))) {
      return undefined;
    }
    if (!isListening()) {
      return { kind: 'not-sent' };
    }
    const result = await carryOut().then(
      (value): CallResult<T> => ({ kind: 'answered', value }),
      (): CallResult<T> => ({ kind: 'disconnected' }),
    );
    return (await this.pass(callee, caller.name)) ? result : undefined;
  }

  /** @returns whether a message that is sent now arrives, when it does or is lost */
  private async pass(sender: string, receiver: string): Promise<boolean> {
    const active = this.faults.get(senderKey(sender, receiver));
    if (active?.fault === 'held-up') {
      await active.over.promise;
    }
    await this.time.sleep(latencyMs + (this.delaysMs.get(receiver) ?? 0));
    return active?.fault !== 'silent';
  }
}

const senderKey = (sender: string, receiver: string): string => `${sender} ${receiver}`;
