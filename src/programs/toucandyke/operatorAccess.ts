/**
 * Finds a daemon among several addresses that answers operators.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { OperatorHttpClient } from '../../adapters/operatorHttp/operatorHttpClient.js';
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
