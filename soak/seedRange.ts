/**
 * Parses the seeds of a soak from its command line.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

const rangePattern = /^(\d{1,9})(?:-(\d{1,9}))?$/;

/**
 * @param text - a seed such as `7`, or a range such as `1-50`
 * @returns the seeds, at least one, or a description of what is not valid
 */
export const parseSeeds = (text: string): Result<number[], string> => {
  const match = rangePattern.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2] ?? match?.[1]);
  return last >= first
    ? Ok(Array.from({ length: last - first + 1 }, (_, index) => first + index))
    : Err('--seeds must be a number such as 7, or a range such as 1-50.');
};
