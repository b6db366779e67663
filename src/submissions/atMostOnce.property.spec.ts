import fc from 'fast-check';
import { Err, Ok } from 'ts-results-es';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createProblem } from '../errors/problem.js';
import { unreachable } from '../errors/unreachable.js';
import type { SubmitOutcome } from '../ports/peers.js';
import { DaemonFixture } from '../testing/daemonFixture.js';
import type { FakeLogFault } from '../testing/fakeLogService.js';
import type { LinkFault } from '../testing/fakePeerNetwork.js';
import { createCaller, createConfiguration, createSubmission } from '../testing/fixtures.js';
import { findDoubleStarts, findFalseNotRun } from '../testing/startTruth.js';

const counter = createCaller('counter');
const jobs = 3;
const tasksPerJob = 4;
const windowMs = 20_000;
const bodyFault = createProblem('invalid-request', 'The body is not valid JSON.');

type EndpointMode = 'answer' | 'slow' | 'no-answer' | 'busy';

/** One step of a run; indexes are taken modulo what there is. */
type Step =
  | { kind: 'submit'; job: number; daemon: number; form: 'owned' | 'plain'; isBodyValid: boolean }
  | { kind: 'cancel'; job: number; daemon: number }
  | { kind: 'kill'; daemon: number }
  | { kind: 'stop'; daemon: number }
  | { kind: 'start' }
  | { kind: 'link'; from: number; to: number; fault: LinkFault }
  | { kind: 'log'; fault: FakeLogFault; appendDelayMs: number; retainedRecords: number }
  | { kind: 'endpoints'; mode: EndpointMode }
  | { kind: 'advance'; durationMs: number }
  | { kind: 'pause'; durationMs: number };

const index = fc.nat({ max: 7 });
const submitStep = fc.record({
  kind: fc.constant('submit' as const),
  job: fc.nat({ max: jobs - 1 }),
  daemon: index,
  form: fc.constantFrom('owned' as const, 'plain' as const),
  isBodyValid: fc.integer({ min: 0, max: 7 }).map((n) => n > 0),
});
const advanceStep = fc.record({
  kind: fc.constant('advance' as const),
  durationMs: fc.constantFrom(10, 60, 150, 700, 2_500, 6_000),
});
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 14, arbitrary: submitStep },
  { weight: 6, arbitrary: advanceStep },
  fc.record({ kind: fc.constant('cancel' as const), job: index, daemon: index }),
  fc.record({ kind: fc.constant('kill' as const), daemon: index }),
  fc.record({ kind: fc.constant('stop' as const), daemon: index }),
  fc.record({ kind: fc.constant('start' as const) }),
  fc.record({
    kind: fc.constant('link' as const),
    from: index,
    to: index,
    fault: fc.constantFrom<LinkFault>('none', 'cut', 'answer-lost'),
  }),
  fc.record({
    kind: fc.constant('log' as const),
    fault: fc.constantFrom<FakeLogFault>('none', 'outage', 'answer-lost'),
    appendDelayMs: fc.constantFrom(0, 500, 4_000),
    retainedRecords: fc.constantFrom(Infinity, 3),
  }),
  fc.record({
    kind: fc.constant('endpoints' as const),
    mode: fc.constantFrom<EndpointMode>('answer', 'slow', 'no-answer', 'busy'),
  }),
  fc.record({
    kind: fc.constant('pause' as const),
    durationMs: fc.constantFrom(500, 3_000, 9_000),
  }),
);

/** A submission that a caller repeats under one key. */
interface Job {
  readonly key: string;
  readonly inputs: readonly string[];
  readonly firstAtMs: number;
  readonly outcomes: Promise<SubmitOutcome>[];
}

class Run {
  readonly jobs = new Map<string, Job>();
  private readonly stops: Promise<void>[] = [];
  private started = 3;

  constructor(readonly fixture: DaemonFixture) {}

  async take(taken: Step): Promise<void> {
    const { fixture } = this;
    const { log } = fixture;
    switch (taken.kind) {
      case 'submit': {
        this.submit(taken);
        return;
      }
      case 'cancel':
        void [...this.jobs.values()]
          .slice(taken.job, taken.job + 1)
          .map(({ key }) => this.daemon(taken.daemon)?.cancel(counter, key));
        return;
      case 'kill': {
        fixture.kill(this.vmId(taken.daemon));
        return;
      }
      case 'stop': {
        this.stop(this.vmId(taken.daemon));
        return;
      }
      case 'start':
        this.started += 1;
        return void fixture.start(`muenchen-vm${this.started}`);
      case 'link': {
        fixture.network.setFault(this.vmId(taken.from), this.vmId(taken.to), taken.fault);
        return;
      }
      case 'log':
        log.fault = taken.fault;
        log.appendDelayMs = taken.appendDelayMs;
        log.retainedRecords = taken.retainedRecords;
        return;
      case 'endpoints': {
        this.setMode(taken.mode);
        return;
      }
      case 'advance':
        return fixture.clock.advance(taken.durationMs);
      case 'pause': {
        fixture.clock.jump(taken.durationMs);
        return;
      }
      default:
        return unreachable(taken);
    }
  }

  /** Lets everything end and gives each job's outcomes. */
  async end(): Promise<Map<Job, SubmitOutcome[]>> {
    await this.fixture.clock.advance(12_000);
    const ended = new Map<Job, SubmitOutcome[]>();
    for (const job of this.jobs.values()) {
      ended.set(job, await Promise.all(job.outcomes));
    }
    await this.fixture.clock.advance(20_000);
    await Promise.all(this.stops);
    return ended;
  }

  private submit(taken: Extract<Step, { kind: 'submit' }>): void {
    const daemon = this.daemon(taken.daemon);
    if (daemon === undefined) {
      return;
    }
    const name = `${taken.form}-${taken.job}`;
    const nowMs = this.fixture.clock.nowMs();
    const job = this.jobs.get(name) ?? {
      key: taken.form === 'plain' ? name : `${daemon.owner()}~${name}`,
      inputs: Array.from({ length: tasksPerJob }, (_, i) => `${name}-${i}`),
      firstAtMs: nowMs,
      outcomes: [],
    };
    this.jobs.set(name, job);
    if (taken.form === 'plain' && nowMs - job.firstAtMs >= windowMs) {
      return;
    }
    const submission = createSubmission('fit', job.inputs, 4_000);
    const body = taken.isBodyValid ? Ok(submission) : Err(bodyFault);
    job.outcomes.push(daemon.submit(counter, job.key, body));
  }

  private stop(vmId: string): void {
    if (this.fixture.daemons.has(vmId)) {
      this.stops.push(this.fixture.stop(vmId));
    }
  }

  private setMode(mode: EndpointMode): void {
    const { endpoints, clock } = this.fixture;
    endpoints.behaviour = async (_endpoint, start) => {
      switch (mode) {
        case 'answer':
          return endpoints.runFor(start, 100);
        case 'slow':
          return endpoints.runFor(start, 3_000);
        case 'no-answer':
          endpoints.begin(start);
          await clock.sleep(50);
          return { kind: 'unknown', reason: 'no-answer' };
        case 'busy':
          return { kind: 'not-started', reason: 'busy' };
      }
    };
  }

  private vmId(n: number): string {
    const vmIds = [...this.fixture.daemons.keys()];
    return vmIds[n % Math.max(1, vmIds.length)] ?? 'none';
  }

  private daemon(n: number) {
    return this.fixture.daemons.get(this.vmId(n));
  }
}

const createRun = async (seed: number): Promise<Run> => {
  const configuration = createConfiguration({ slots: 1 });
  const rules = {
    ...configuration.rules,
    maxDeadlineMs: 5_000,
    resubmissionWindowMs: windowMs,
  };
  const vmIds = ['muenchen-vm1', 'muenchen-vm2', 'muenchen-vm3'];
  return new Run(await DaemonFixture.create(vmIds, { ...configuration, rules }, seed));
};

test('starts no task twice and tells no false not-run under any mix of faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 40, maxLength: 60 }), async (steps) => {
      const run = await createRun(1);
      for (const taken of steps) {
        await run.take(taken);
        await run.fixture.clock.settle();
      }
      for (const [{ inputs }, outcomes] of await run.end()) {
        assert.equal(findDoubleStarts(run.fixture.endpoints, inputs), []);
        for (const outcome of outcomes) {
          assert.equal(findFalseNotRun(run.fixture.endpoints, inputs, outcome), []);
        }
      }
    }),
    { seed: 4_002, numRuns: 20, endOnFailure: true },
  );
});

test.run();
