/**
 * Counts what callers got, for each class.
 */
import type { ErrorKind } from '../../../errors/errorKinds.js';
import type { CallerClass } from '../../../inventory/types.js';
import type { CallerOutcome } from '../../../adapters/callerHttp/callerHttpClient.js';
import { unreachable } from '../../../errors/unreachable.js';

/** Counts of one class. */
interface ClassTally {
  accepted: number;
  answered: number;
  lost: number;
  readonly failedByKind: Map<ErrorKind, number>;
  readonly responseOverIdeal: number[];
}

/** One finished request. */
export interface FinishedRequest {
  readonly callerClass: CallerClass;
  readonly outcome: CallerOutcome;
  readonly responseMs: number;
  readonly idealMs: number;
}

export class DemoTally {
  private readonly classes: Record<CallerClass, ClassTally> = {
    paying: createClassTally(),
    trial: createClassTally(),
  };
  /** Answers that do not belong to the request. */
  wrongAnswers = 0;

  private constructor() {
    // Built by create.
  }

  static create(): DemoTally {
    return new DemoTally();
  }

  get finished(): number {
    return this.classes.paying.accepted + this.classes.trial.accepted;
  }

  get lost(): number {
    return this.classes.paying.lost + this.classes.trial.lost;
  }

  record({ callerClass, outcome, responseMs, idealMs }: FinishedRequest): void {
    const tally = this.classes[callerClass];
    tally.accepted += 1;
    switch (outcome.kind) {
      case 'complete':
        tally.answered += 1;
        tally.responseOverIdeal.push(responseMs / idealMs);
        return;
      case 'failed':
        tally.failedByKind.set(
          outcome.errorKind,
          (tally.failedByKind.get(outcome.errorKind) ?? 0) + 1,
        );
        return;
      case 'broken':
      case 'not-sent':
        tally.lost += 1;
        return;
      default:
        return unreachable(outcome);
    }
  }

  /** @returns one line of text for each class */
  formatLines(): string[] {
    return (['paying', 'trial'] as const).map((callerClass) => {
      const tally = this.classes[callerClass];
      const sorted = [...tally.responseOverIdeal].sort((a, b) => a - b);
      const failed = [...tally.failedByKind].map(([kind, count]) => `${kind} ${count}`).join(', ');
      return [
        `${callerClass}: accepted ${tally.accepted}, answered ${tally.answered}`,
        `failed ${failed === '' ? '0' : `(${failed})`}, lost ${tally.lost}`,
        `response over ideal median ${pick(sorted, 0.5)}, p99 ${pick(sorted, 0.99)}`,
      ].join('; ');
    });
  }
}

const createClassTally = (): ClassTally => ({
  accepted: 0,
  answered: 0,
  lost: 0,
  failedByKind: new Map(),
  responseOverIdeal: [],
});

const pick = (sorted: readonly number[], quantile: number): string =>
  (sorted[Math.floor((sorted.length - 1) * quantile)] ?? NaN).toFixed(2);
