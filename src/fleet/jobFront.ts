/**
 * Connects what serves the callers of a daemon: the intake of jobs, cancellations, and the wait for jobs of other daemons.
 */
import type { HeldJob } from '../bestEffort/runningJobs.js';
import { HolderQuestions } from './holderQuestions.js';
import type { HolderQuestionsOptions } from './holderQuestions.js';
import { JobCancellation } from './jobCancellation.js';
import type { JobCancellationOptions } from './jobCancellation.js';
import { JobIntake } from './jobIntake.js';
import type { JobIntakeOptions } from './jobIntake.js';
import { JobJoins } from './jobJoins.js';
import type { JobJoinsOptions } from './jobJoins.js';

export type JobFrontOptions = JobCancellationOptions &
  Omit<HolderQuestionsOptions, 'confirmationMs'> &
  Omit<JobJoinsOptions, 'questions'> &
  Omit<JobIntakeOptions, 'cancellation' | 'joins'>;

/** What a daemon serves to its callers, and what it answers other daemons for theirs. */
export interface JobFront {
  readonly intake: JobIntake;
  readonly cancellation: JobCancellation;
  readonly questions: HolderQuestions;
  /** Lists the jobs that this daemon holds, or waits for to start them. */
  readonly listHeld: () => HeldJob[];
}

export const createJobFront = (options: JobFrontOptions): JobFront => {
  const { jobs, leaseTimes } = options;
  const cancellation = JobCancellation.create(options);
  const questions = HolderQuestions.create({
    ...options,
    confirmationMs: leaseTimes.confirmationMs,
    jobs: {
      answerFor: async (jobId, waitMs) => {
        const waiting = jobs.state(jobId) === 'unknown' ? joins.answerFor(jobId) : undefined;
        return waiting ?? jobs.answerFor(jobId, waitMs);
      },
    },
  });
  const joins = JobJoins.create({ ...options, questions });
  const intake = JobIntake.create({ ...options, cancellation, joins });
  const listHeld = (): HeldJob[] => [...jobs.listHeld(), ...joins.listWaiting()];
  return { intake, cancellation, questions, listHeld };
};
