/**
 * What the workers of the model record: every run of a task that they started.
 */
import { z } from 'zod';

/** What a task does, as the text of its job's specification. */
export const taskSpecSchema = z.object({
  /** The attempt of the client to which the run belongs. */
  attempt: z.string(),
  runMs: z.number(),
  /** Run time of each task, in place of `runMs`. */
  runMsByTask: z.array(z.number()).optional(),
  cpuMillis: z.number(),
  /** Whether every run of the first task fails. */
  isFailing: z.boolean(),
  /** Whether every run of the first task crashes its worker at the end. */
  isDeadly: z.boolean().default(false),
});
export type TaskSpec = z.infer<typeof taskSpecSchema>;

/** How a run ended. `crashed` and `left`: with its worker. */
export type ModelRunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'crashed' | 'left';

export interface ModelRun {
  readonly workerId: string;
  /** Number of the worker's lifetime, from 1. */
  readonly life: number;
  readonly taskName: string;
  readonly run: number;
  readonly spec: TaskSpec;
  readonly startedAtMs: number;
  /** Processor capacity of the worker in this lifetime, in thousandths of a core. */
  readonly workerCpuMillis: number;
  /** Undefined while it runs. */
  endedAtMs: number | undefined;
  how: ModelRunEnd | undefined;
}

/** Whether a task is the one of its job that a fault of the job concerns. */
export const isFirstTask = (taskName: string): boolean => taskName.endsWith('.0');

/** @returns how long a run of a task takes, in milliseconds */
export const runMsOf = (taskName: string, { runMs, runMsByTask }: TaskSpec): number =>
  runMsByTask?.[Number(taskName.split('.').at(-1))] ?? runMs;

/** @returns the id of the job that a task belongs to */
export const jobIdOf = (taskName: string): string => taskName.split('.')[0] ?? '';

export const describeRun = (run: ModelRun): string =>
  `${run.taskName} run ${run.run} on ${run.workerId} (life ${run.life}) from ${run.startedAtMs.toFixed(0)} to ` +
  `${run.endedAtMs?.toFixed(0) ?? '?'}, ${run.how ?? 'running'}, attempt ${run.spec.attempt}`;
