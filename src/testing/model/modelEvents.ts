/**
 * The events of the model: what clients ask for, and what goes wrong. Times are in milliseconds from the
 * begin of the scenario, when the fleet serves its workers.
 */
import { z } from 'zod';

const atMs = z.number().nonnegative();
const forMs = z.number().positive();
/** Index of a daemon or worker, modulo their number. */
const index = z.number().int().nonnegative();

/** A worker by its index, or one that runs a task of a job when the event comes. */
const workerChoiceSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('numbered'), index }),
  z.object({ kind: z.literal('running'), job: index }),
]);
export type WorkerChoice = z.infer<typeof workerChoiceSchema>;

/** What a worker has from its next lifetime on: a kind, a size, or another id at the same address. */
const nextLifetimeSchema = z.object({
  label: z.string().optional(),
  cpuMillis: z.number().int().positive().optional(),
  /** It refuses orders to the earlier id, whose entry expires. */
  takesNewId: z.boolean().optional(),
});
export type NextLifetime = z.infer<typeof nextLifetimeSchema>;

/**
 * Which messages a cut concerns: only those of the daemon that is named first, only those to it, or both if left out.
 */
const direction = z.enum(['out', 'back']).optional();
export type CutDirection = z.infer<typeof direction>;

const modelJobSchema = z.object({
  daemon: index,
  /** Added to the index of the daemon for each further attempt. */
  nextDaemonStep: z.number().int().positive(),
  tasks: z.number().int().positive(),
  runMs: z.number().positive(),
  estimatedMs: z.number().positive(),
  cpuMillis: z.number().int().positive(),
  /** Label that the workers must have. */
  requiredLabel: z.string().optional(),
  /** Whether every run of the first task fails. */
  isFailing: z.boolean().optional(),
  /** Whether every run of the first task crashes its worker at the end. */
  isDeadly: z.boolean().optional(),
  deadlineMs: z.number().positive(),
  /** Time after which the client leaves in each attempt, if not at its deadline. */
  leavesAfterMs: forMs.optional(),
  /** Attempts after which the client gives the job up. */
  maxAttempts: z.number().int().positive().optional(),
});
export type ModelJob = z.infer<typeof modelJobSchema>;

export const modelEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submit'), atMs, job: modelJobSchema }),
  /** A client cancels a job, numbered by its submission, at some daemon. */
  z.object({ kind: z.literal('cancel'), atMs, job: index, daemon: index }),
  /** SIGTERM; the process is started again after its end. */
  z.object({ kind: z.literal('stop'), atMs, daemon: index, downMs: forMs }),
  /** The process is killed; until a successor answers, connections are refused. */
  z.object({ kind: z.literal('kill'), atMs, daemon: index, downMs: forMs }),
  z.object({ kind: z.literal('freeze'), atMs, daemon: index, forMs }),
  /** The VM of a daemon is suspended: like a freeze, but the monotonic clock of the process stops, too. */
  z.object({ kind: z.literal('suspend'), atMs, daemon: index, forMs }),
  /**
   * What is sent to a daemon comes late, from its clients only or from all, or the ends of its clients' connections are
   * lost on the way.
   */
  z.object({
    kind: z.literal('inbound'),
    atMs,
    daemon: index,
    fault: z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('late-clients'), byMs: forMs }),
      z.object({ kind: z.literal('late-all'), byMs: forMs }),
      z.object({ kind: z.literal('lost-ends') }),
    ]),
    forMs,
  }),
  /** The connections of all clients to a daemon are reset. */
  z.object({ kind: z.literal('reset'), atMs, daemon: index }),
  /**
   * The event loop of a daemon, or of all, has long turns for a while, and also that of a process started meanwhile.
   * The turns take the lengths one after the other, again and again.
   */
  z.object({
    kind: z.literal('slow'),
    atMs,
    daemon: index.nullable(),
    turnsMs: z.array(forMs).min(1),
    forMs,
  }),
  /** A worker loses the connection to one daemon, or to all. */
  z.object({
    kind: z.literal('cut'),
    atMs,
    worker: workerChoiceSchema,
    daemon: index.nullable(),
    fault: z.enum(['silent', 'refusing', 'held-up']),
    direction,
    forMs,
  }),
  z.object({
    kind: z.literal('cut-daemons'),
    atMs,
    daemon: index,
    other: index,
    fault: z.enum(['silent', 'held-up']),
    direction,
    forMs,
  }),
  z.object({ kind: z.literal('cut-store'), atMs, daemon: index, direction, forMs }),
  z.object({
    kind: z.literal('crash'),
    atMs,
    worker: workerChoiceSchema,
    down: z.enum(['refused', 'silent']),
    downMs: forMs,
    /** What differs in the next lifetime. */
    next: nextLifetimeSchema.optional(),
  }),
  /** The entry of a worker that is up expires, since it does not reach the store. */
  z.object({ kind: z.literal('expire-entry'), atMs, worker: workerChoiceSchema, forMs }),
  z.object({ kind: z.literal('drain'), atMs, worker: workerChoiceSchema, drainMs: forMs }),
  z.object({
    kind: z.literal('worker-fault'),
    atMs,
    worker: workerChoiceSchema,
    fault: z.enum(['mute', 'refusing', 'late', 'late-grants']),
    /** Time after which a worker that is late carries an order out. */
    lateByMs: forMs.optional(),
    forMs,
  }),
  /** An entry in the list of workers that names no worker to use, or that omits the worker's start. */
  z.object({
    kind: z.literal('invalid-entry'),
    atMs,
    form: z.enum(['unreadable', 'bad-port', 'without-start']),
    worker: workerChoiceSchema,
  }),
]);
export type ModelEvent = z.infer<typeof modelEventSchema>;

/** What is wrong with the link to a daemon. */
export type InboundFault = Extract<ModelEvent, { kind: 'inbound' }>['fault'];

/** A list of events and the seed of the random numbers in the daemons. */
export const scenarioSchema = z.object({
  seed: z.number().int().nonnegative(),
  /** Failure domain of each daemon. */
  daemons: z.array(z.string()).min(1),
  workers: z.array(z.object({ domain: z.string(), label: z.string() })).min(1),
  /** Whether replies to starts state the start of the worker. */
  startsStateLifetime: z.boolean().default(false),
  /** Whether the workers refuse what does not fit; they do if left out. */
  guardsCapacity: z.boolean().optional(),
  events: z.array(modelEventSchema),
});
export type Scenario = z.infer<typeof scenarioSchema>;
