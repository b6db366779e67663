/**
 * Connects what serves the callers of a daemon: the intake of jobs, cancellations, and the wait for jobs of other daemons.
 */
import { HolderQuestions } from './holderQuestions.js';
import type { HolderQuestionsOptions } from './holderQuestions.js';
import { JobCancellation } from './jobCancellation.js';
import type { JobCancellationOptions } from './jobCancellation.js';
import { JobIntake } from './jobIntake.js';
import type { JobIntakeOptions } from './jobIntake.js';
import { JobJoins } from './jobJoins.js';
import type { JobJoinsOptions } from './jobJoins.js';

export type JobFrontOptions = JobCancellationOptions &
  HolderQuestionsOptions &
  Omit<JobJoinsOptions, 'questions'> &
  Omit<JobIntakeOptions, 'cancellation' | 'joins'>;

/** What a daemon serves to its callers, and what it answers other daemons for theirs. */
export interface JobFront {
  readonly intake: JobIntake;
  readonly cancellation: JobCancellation;
  readonly questions: HolderQuestions;
}

export const createJobFront = (options: JobFrontOptions): JobFront => {
  const cancellation = JobCancellation.create(options);
  const questions = HolderQuestions.create(options);
  const joins = JobJoins.create({ ...options, questions });
  return { intake: JobIntake.create({ ...options, cancellation, joins }), cancellation, questions };
};
