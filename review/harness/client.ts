/**
 * A sound client: it submits a job on a connection of its own, waits for the answer until its deadline,
 * and sends the job again as the platform's pages say.
 */
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Daemon } from './daemon.js';
import type { Record } from './record.js';
import type { TaskSpec } from './workerLife.js';

/** Time from no answer, a broken connection, 502 or 504 to the next attempt. */
const resendMs = 1_300;
export const host = 'nony24.example';
export const prefix = '/lohu930/';

export interface Step {
  readonly count: number;
  readonly cpu: number;
  readonly memMb: number;
  readonly estimatedMs: number;
  readonly after?: readonly number[];
  /** Label that the worker must have. */
  readonly requirements?: string;
}

export interface Job {
  readonly id: string;
  readonly spec: TaskSpec;
  readonly steps: readonly Step[];
  /** How long the client waits for an answer, in milliseconds. */
  readonly deadlineMs: number;
}

/** The answer to one call; `none` if the connection broke or the deadline passed. */
export type Answer =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  | { readonly kind: 'none'; readonly reason: string };

let nextId = 0;
const idBase = Math.floor(Math.random() * 2 ** 31);

/** @returns a new job id of 16 hexadecimal digits */
export const createJobId = (): string => {
  nextId += 1;
  return idBase.toString(16).padStart(8, '0') + nextId.toString(16).padStart(8, '0');
};

/** Sends one request to a daemon, on a new connection. */
const exchange = (
  daemon: Daemon,
  method: string,
  path: string,
  body: string | undefined,
  deadlineMs: number,
): Promise<Answer> =>
  new Promise((resolve) => {
    const headers = {
      host,
      'content-type': 'application/json',
      'x-toucandyke-deadline-ms': String(deadlineMs),
    };
    const call = request(
      { host: daemon.ip, port: daemon.frontPort, method, path, headers, agent: false },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.once('end', () => {
          clearTimeout(timer);
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({ kind: 'answered', status: response.statusCode ?? 0, body: text });
        });
        response.once('error', () => resolve({ kind: 'none', reason: 'broken connection' }));
      },
    );
    const timer = setTimeout(() => {
      resolve({ kind: 'none', reason: 'no answer by the deadline' });
      call.destroy();
    }, deadlineMs);
    call.once('error', () => {
      clearTimeout(timer);
      resolve({ kind: 'none', reason: 'broken connection' });
    });
    call.end(body);
  });

/** Submits a job once. */
export const submitOnce = async (record: Record, daemon: Daemon, job: Job): Promise<Answer> => {
  record.write(`client: POST ${job.id} to ${daemon.name}`);
  const body = JSON.stringify({
    taskSpec: JSON.stringify(job.spec),
    steps: job.steps,
    bestEffort: true,
  });
  const answer = await exchange(daemon, 'POST', prefix + job.id, body, job.deadlineMs);
  record.write(`client: ${job.id} at ${daemon.name}: ${describeAnswer(answer)}`);
  return answer;
};

/**
 * Submits a job, and sends it again after no answer, a broken connection, 502 or 504.
 *
 * @param daemons - receive the attempts, one each
 */
export const submit = async (
  record: Record,
  daemons: readonly Daemon[],
  job: Job,
): Promise<Answer> => {
  let answer: Answer = { kind: 'none', reason: 'not sent' };
  for (const daemon of daemons) {
    answer = await submitOnce(record, daemon, job);
    const mustResend =
      answer.kind === 'none' || [502, 504].some((status) => isStatus(answer, status));
    if (!mustResend) {
      return answer;
    }
    await sleep(resendMs);
  }
  return answer;
};

const isStatus = (answer: Answer, status: number): boolean =>
  answer.kind === 'answered' && answer.status === status;

const describeAnswer = (answer: Answer): string =>
  answer.kind === 'none' ? answer.reason : `${answer.status} ${answer.body}`;
