/**
 * Finds a daemon among several addresses that answers operators.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { OperatorHttpClient } from '../../adapters/operatorHttp/operatorHttpClient.js';
import type { DaemonTrace } from '../../explain/explainJob.js';
import type { DaemonStatus } from '../../ports/operators.js';

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
  const replies = await Promise.all(
    addresses.split(',').map(async (address) => {
      const client = OperatorHttpClient.create(address, token);
      const reply = await client.jobTraces(name);
      await client.close();
      return reply;
    }),
  );
  return {
    traces: replies.flatMap((reply) =>
      reply.isOk() ? reply.value.traces.map((trace) => ({ vmId: reply.value.vmId, trace })) : [],
    ),
    failures: replies.flatMap((reply) => (reply.isErr() ? [reply.error] : [])),
  };
};
