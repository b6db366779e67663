/**
 * Counts the outcomes of requests and their response times, for each class of callers.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { z } from 'zod';
import type { CallerOutcome } from '../../src/adapters/callerHttp/callerHttpClient.js';
import { errorKindSchema } from '../../src/errors/errorKinds.js';
import type { ErrorKind } from '../../src/errors/errorKinds.js';
import { unreachable } from '../../src/errors/unreachable.js';
import { callerClassSchema } from '../../src/types/inventory.js';
import type { CallerClass } from '../../src/types/inventory.js';

/** Ratios of response time to ideal time are recorded in thousandths, since histograms hold integers. */
const ratioScale = 1_000;
/** Highest recorded ratio, in thousandths. */
const maxRatio = 1_000_000;

/** Counts of one class of callers. */
interface ClassTally {
  accepted: number;
  answered: number;
  answeredTasks: number;
  lost: number;
  readonly failedByKind: Map<ErrorKind, number>;
  readonly responseOverIdeal: Histogram;
}

/** One finished request. */
export interface FinishedRequest {
  readonly callerClass: CallerClass;
  readonly taskCount: number;
  readonly outcome: CallerOutcome;
  readonly responseMs: number;
  /** Response time on idle, fastest endpoints. */
  readonly idealMs: number;
}

/** Outcomes of the requests of one class of callers. */
export const classSummarySchema = z.object({
  callerClass: callerClassSchema,
  /** All finished requests, whatever their outcome. */
  accepted: z.number(),
  /** Requests with a complete answer, and the tasks in them. */
  answered: z.number(),
  answeredTasks: z.number(),
  /** Requests that were not sent, or whose connection broke before an answer. */
  lost: z.number(),
  failures: z.array(z.object({ kind: errorKindSchema, count: z.number() })),
  /** Response time over ideal time of the complete answers. */
  medianOverIdeal: z.number(),
  p99OverIdeal: z.number(),
});
export type ClassSummary = z.infer<typeof classSummarySchema>;

export class LoadTally {
  private readonly classes: Record<CallerClass, ClassTally> = {
    paying: createClassTally(),
    trial: createClassTally(),
  };
  /** Complete answers whose results are not those of the request. */
  wrongAnswers = 0;

  private constructor() {
    // Built by create.
  }

  static create(): LoadTally {
    return new LoadTally();
  }

  /** @returns finished requests of both classes */
  get finished(): number {
    return this.classes.paying.accepted + this.classes.trial.accepted;
  }

  /** @returns lost requests of both classes */
  get lost(): number {
    return this.classes.paying.lost + this.classes.trial.lost;
  }

  record({ callerClass, taskCount, outcome, responseMs, idealMs }: FinishedRequest): void {
    const tally = this.classes[callerClass];
    tally.accepted += 1;
    switch (outcome.kind) {
      case 'complete': {
        tally.answered += 1;
        tally.answeredTasks += taskCount;
        const ratio = Math.round((responseMs / idealMs) * ratioScale);
        tally.responseOverIdeal.recordValue(Math.min(ratio, maxRatio));
        return;
      }
      case 'failed': {
        const countBefore = tally.failedByKind.get(outcome.errorKind) ?? 0;
        tally.failedByKind.set(outcome.errorKind, countBefore + 1);
        return;
      }
      case 'broken':
      case 'not-sent':
        tally.lost += 1;
        return;
      default:
        return unreachable(outcome);
    }
  }

  summarize(callerClass: CallerClass): ClassSummary {
    const { accepted, answered, answeredTasks, lost, failedByKind, responseOverIdeal } =
      this.classes[callerClass];
    return {
      callerClass,
      accepted,
      answered,
      answeredTasks,
      lost,
      failures: [...failedByKind].map(([kind, count]) => ({ kind, count })),
      medianOverIdeal: responseOverIdeal.getValueAtPercentile(50) / ratioScale,
      p99OverIdeal: responseOverIdeal.getValueAtPercentile(99) / ratioScale,
    };
  }

  /** @returns one line of text for each class */
  formatLines(): string[] {
    return (['paying', 'trial'] as const).map((callerClass) => {
      const summary = this.summarize(callerClass);
      const failed = summary.failures.map(({ kind, count }) => `${kind} ${count}`).join(', ');
      return [
        `${callerClass}: accepted ${summary.accepted}, answered ${summary.answered}`,
        `failed ${failed === '' ? '0' : `(${failed})`}, lost ${summary.lost}`,
        `response over ideal median ${summary.medianOverIdeal.toFixed(2)}, ` +
          `p99 ${summary.p99OverIdeal.toFixed(2)}`,
      ].join('; ');
    });
  }
}

const createClassTally = (): ClassTally => ({
  accepted: 0,
  answered: 0,
  answeredTasks: 0,
  lost: 0,
  failedByKind: new Map(),
  responseOverIdeal: build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxRatio,
    numberOfSignificantValueDigits: 3,
  }),
});
