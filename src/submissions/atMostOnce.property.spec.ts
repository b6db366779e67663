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
import { findDoubleStarts, findFalseNotRun } from '../testing/atMostOnceChecks.js';

const counter = createCaller('counter');
const jobCount = 3;
const tasksPerJob = 4;
const windowMs = 20_000;
const bodyFault = createProblem('invalid-request', 'The body is not valid JSON.');

type EndpointBehaviour = 'answer' | 'slow' | 'no-answer' | 'busy';

/**
 * One step of a scenario; the index of a daemon is taken modulo the number of daemons. `advance` runs
 * the timers that fall due, and `pause` moves the clock alone, as if the processes were suspended.
 */
type Step =
  | { kind: 'submit'; job: number; daemon: number; form: 'owned' | 'plain'; isBodyValid: boolean }
  | { kind: 'cancel'; job: number; daemon: number }
  | { kind: 'kill'; daemon: number }
  | { kind: 'stop'; daemon: number }
  | { kind: 'start' }
  | { kind: 'link'; from: number; to: number; fault: LinkFault }
  | { kind: 'log'; fault: FakeLogFault; appendDelayMs: number; retainedRecords: number }
  | { kind: 'endpoints'; mode: EndpointBehaviour }
  | { kind: 'advance'; durationMs: number }
  | { kind: 'pause'; durationMs: number };

const indexArbitrary = fc.nat({ max: 7 });
const submitStep = fc.record({
  kind: fc.constant('submit' as const),
  job: fc.nat({ max: jobCount - 1 }),
  daemon: indexArbitrary,
  form: fc.constantFrom('owned' as const, 'plain' as const),
  isBodyValid: fc.integer({ min: 0, max: 7 }).map((n) => n > 0),
});
const advanceStep = fc.record({
  kind: fc.constant('advance' as const),
  durationMs: fc.constantFrom(10, 60, 150, 700, 2_500, 6_000),
});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 14, arbitrary: submitStep },
  { weight: 6, arbitrary: advanceStep },
  fc.record({ kind: fc.constant('cancel' as const), job: indexArbitrary, daemon: indexArbitrary }),
  fc.record({ kind: fc.constant('kill' as const), daemon: indexArbitrary }),
  fc.record({ kind: fc.constant('stop' as const), daemon: indexArbitrary }),
  fc.record({ kind: fc.constant('start' as const) }),
  fc.record({
    kind: fc.constant('link' as const),
    from: indexArbitrary,
    to: indexArbitrary,
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
    mode: fc.constantFrom<EndpointBehaviour>('answer', 'slow', 'no-answer', 'busy'),
  }),
  fc.record({
    kind: fc.constant('pause' as const),
    durationMs: fc.constantFrom(500, 3_000, 9_000),
  }),
);

/** A job that a caller submits again and again under one key. */
interface Job {
  readonly key: string;
  readonly inputs: readonly string[];
  readonly firstAtMs: number;
  readonly outcomes: Promise<SubmitOutcome>[];
}

/** Three daemons to which the steps are applied, and the outcomes of every submission. */
class FaultScenario {
  readonly jobs = new Map<string, Job>();
  private readonly plannedStops: Promise<void>[] = [];
  private started = 3;

  constructor(readonly fixture: DaemonFixture) {}

  async apply(step: Step): Promise<void> {
    const { fixture } = this;
    const { log } = fixture;
    switch (step.kind) {
      case 'submit': {
        this.submit(step);
        return;
      }
      case 'cancel':
        void [...this.jobs.values()]
          .slice(step.job, step.job + 1)
          .map(({ key }) => this.daemon(step.daemon)?.cancel(counter, key));
        return;
      case 'kill': {
        fixture.kill(this.vmId(step.daemon));
        return;
      }
      case 'stop': {
        this.stop(this.vmId(step.daemon));
        return;
      }
      case 'start':
        this.started += 1;
        return void fixture.start(`muenchen-vm${this.started}`);
      case 'link': {
        fixture.network.setFault(this.vmId(step.from), this.vmId(step.to), step.fault);
        return;
      }
      case 'log':
        log.fault = step.fault;
        log.appendDelayMs = step.appendDelayMs;
        log.retainedRecords = step.retainedRecords;
        return;
      case 'endpoints': {
        this.setEndpointMode(step.mode);
        return;
      }
      case 'advance':
        return fixture.clock.advance(step.durationMs);
      case 'pause': {
        fixture.clock.jump(step.durationMs);
        return;
      }
      default:
        return unreachable(step);
    }
  }

  /** Waits until every job has ended and returns the outcomes of each. */
  async end(): Promise<Map<Job, SubmitOutcome[]>> {
    await this.fixture.clock.advance(12_000);
    const ended = new Map<Job, SubmitOutcome[]>();
    for (const job of this.jobs.values()) {
      ended.set(job, await Promise.all(job.outcomes));
    }
    await this.fixture.clock.advance(20_000);
    await Promise.all(this.plannedStops);
    return ended;
  }

  private submit(step: Extract<Step, { kind: 'submit' }>): void {
    const daemon = this.daemon(step.daemon);
    if (daemon === undefined) {
      return;
    }
    const name = `${step.form}-${step.job}`;
    const nowMs = this.fixture.clock.nowMs();
    const job = this.jobs.get(name) ?? {
      key: step.form === 'plain' ? name : `${daemon.owner()}~${name}`,
      inputs: Array.from({ length: tasksPerJob }, (_, i) => `${name}-${i}`),
      firstAtMs: nowMs,
      outcomes: [],
    };
    this.jobs.set(name, job);
    if (step.form === 'plain' && nowMs - job.firstAtMs >= windowMs) {
      return;
    }
    const submission = createSubmission('fit', job.inputs, 4_000);
    const body = step.isBodyValid ? Ok(submission) : Err(bodyFault);
    job.outcomes.push(daemon.submit(counter, job.key, body));
  }

  private stop(vmId: string): void {
    if (this.fixture.daemons.has(vmId)) {
      this.plannedStops.push(this.fixture.stop(vmId));
    }
  }

  private setEndpointMode(mode: EndpointBehaviour): void {
    const { endpoints, clock } = this.fixture;
    endpoints.behaviour = async (_endpoint, start) => {
      switch (mode) {
        case 'answer':
          return endpoints.runFor(start, 100);
        case 'slow':
          return endpoints.runFor(start, 3_000);
        case 'no-answer':
          endpoints.recordStart(start);
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

const createScenario = async (seed: number): Promise<FaultScenario> => {
  const configuration = createConfiguration({ slots: 1 });
  const rules = {
    ...configuration.rules,
    maxDeadlineMs: 5_000,
    resubmissionWindowMs: windowMs,
  };
  const vmIds = ['muenchen-vm1', 'muenchen-vm2', 'muenchen-vm3'];
  return new FaultScenario(await DaemonFixture.create(vmIds, { ...configuration, rules }, seed));
};

test('starts no task twice and reports no started task as not run under any mix of faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(stepArbitrary, { minLength: 40, maxLength: 60 }), async (steps) => {
      const scenario = await createScenario(1);
      for (const step of steps) {
        await scenario.apply(step);
        await scenario.fixture.clock.flushCallbacks();
      }
      for (const [{ inputs }, outcomes] of await scenario.end()) {
        assert.equal(findDoubleStarts(scenario.fixture.endpoints, inputs), []);
        for (const outcome of outcomes) {
          assert.equal(findFalseNotRun(scenario.fixture.endpoints, inputs, outcome), []);
        }
      }
    }),
    { seed: 4_002, numRuns: 20, endOnFailure: true },
  );
});

test.run();
