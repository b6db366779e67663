/**
 * Finds a daemon among several addresses that answers operators.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { OperatorHttpClient } from '../../adapters/operatorHttp/operatorHttpClient.js';
import type { DaemonTrace } from '../../explain/explainJob.js';
import type { DaemonStatus, ServiceLevels } from '../../ports/operators.js';

/**
 * Asks the daemons in turn until one answers.
 *
 * @param addresses - addresses of operators' interfaces, with commas between
 * @param token - the operators' bearer token
 * @returns the status, or why none came
 */
export const askStatus = async (
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

/** What several daemons remember of a job. */
export interface CollectedTraces {
  readonly traces: readonly DaemonTrace[];
  /** Why daemons did not answer. */
  readonly failures: readonly string[];
}

/**
 * Asks every daemon what it remembers of a job.
 *
 * @param addresses - addresses of operators' interfaces, with commas between
 * @param token - the operators' bearer token
 * @param name - a submission key or a job id
 */
export const collectTraces = async (
  addresses: string,
  token: string,
  name: string,
): Promise<CollectedTraces> => {
  const replies = await askAll(addresses, token, (client) => client.jobTraces(name));
  return {
    traces: replies.flatMap((reply) =>
      reply.isOk() ? reply.value.traces.map((trace) => ({ vmId: reply.value.vmId, trace })) : [],
    ),
    failures: replies.flatMap((reply) => (reply.isErr() ? [reply.error] : [])),
  };
};

/** What several daemons count for the report on service-level burn. */
export interface CollectedServiceLevels {
  readonly answers: readonly ServiceLevels[];
  /** Why daemons did not answer. */
  readonly failures: readonly string[];
}

/**
 * Asks every daemon for its sums that the log does not have yet.
 *
 * @param addresses - addresses of operators' interfaces, with commas between
 * @param token - the operators' bearer token
 */
export const collectServiceLevels = async (
  addresses: string,
  token: string,
): Promise<CollectedServiceLevels> => {
  const replies = await askAll(addresses, token, (client) => client.serviceLevels());
  return {
    answers: replies.flatMap((reply) => (reply.isOk() ? [reply.value] : [])),
    failures: replies.flatMap((reply) => (reply.isErr() ? [reply.error] : [])),
  };
};

const askAll = <T>(
  addresses: string,
  token: string,
  ask: (client: OperatorHttpClient) => Promise<Result<T, string>>,
): Promise<Result<T, string>[]> =>
  Promise.all(
    addresses.split(',').map(async (address) => {
      const client = OperatorHttpClient.create(address, token);
      const reply = await ask(client);
      await client.close();
      return reply;
    }),
  );
