/**
 * Queries the operator interfaces of several daemons.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { OperatorHttpClient } from '../../adapters/operatorHttp/operatorHttpClient.js';
import type { DaemonTrace } from '../../explain/explainJob.js';
import type { DaemonStatus, ServiceLevels } from '../../ports/operators.js';

/**
 * Asks the daemons in turn for their status until one answers.
 *
 * @param addresses - comma-separated addresses of operator interfaces
 * @param token - the operators' bearer token
 * @returns the status, or why the last daemon did not answer
 */
export const fetchStatus = async (
  addresses: string,
  token: string,
): Promise<Result<DaemonStatus, string>> => {
  let answer: Result<DaemonStatus, string> = Err('No address was given.');
  for (const address of addresses.split(',')) {
    const client = OperatorHttpClient.create(address, token);
    answer = await client.status();
    await client.close();
    if (answer.isOk()) {
      return answer;
    }
  }
  return answer;
};

/** The traces of a job, collected from several daemons. */
export interface CollectedTraces {
  readonly traces: readonly DaemonTrace[];
  /** One reason for each daemon that did not answer. */
  readonly failures: readonly string[];
}

/**
 * Asks every daemon for its traces of a job.
 *
 * @param addresses - comma-separated addresses of operator interfaces
 * @param token - the operators' bearer token
 * @param keyOrJobId - a submission key or a job id
 */
export const collectTraces = async (
  addresses: string,
  token: string,
  keyOrJobId: string,
): Promise<CollectedTraces> => {
  const replies = await queryAll(addresses, token, (client) => client.jobTraces(keyOrJobId));
  return {
    traces: replies.flatMap((reply) =>
      reply.isOk() ? reply.value.traces.map((trace) => ({ vmId: reply.value.vmId, trace })) : [],
    ),
    failures: replies.flatMap((reply) => (reply.isErr() ? [reply.error] : [])),
  };
};

/** The objectives and unwritten minute sums of several daemons. */
export interface CollectedServiceLevels {
  readonly answers: readonly ServiceLevels[];
  /** One reason for each daemon that did not answer. */
  readonly failures: readonly string[];
}

/**
 * Asks every daemon for its objectives, and for the minute sums that it has not written to the log yet.
 *
 * @param addresses - comma-separated addresses of operator interfaces
 * @param token - the operators' bearer token
 */
export const collectServiceLevels = async (
  addresses: string,
  token: string,
): Promise<CollectedServiceLevels> => {
  const replies = await queryAll(addresses, token, (client) => client.serviceLevels());
  return {
    answers: replies.flatMap((reply) => (reply.isOk() ? [reply.value] : [])),
    failures: replies.flatMap((reply) => (reply.isErr() ? [reply.error] : [])),
  };
};

/** Sends one request to every daemon, in parallel; the replies are in the order of the addresses. */
const queryAll = <T>(
  addresses: string,
  token: string,
  request: (client: OperatorHttpClient) => Promise<Result<T, string>>,
): Promise<Result<T, string>[]> =>
  Promise.all(
    addresses.split(',').map(async (address) => {
      const client = OperatorHttpClient.create(address, token);
      const reply = await request(client);
      await client.close();
      return reply;
    }),
  );
