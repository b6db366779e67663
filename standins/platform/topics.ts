/**
 * Topics of the store that stand-ins write to, and the number of its partitions.
 */
/** Registrations of workers, by worker id. */
export const workerTopic = 'keyed.servers';
/** Configurations that operators publish, by their kind. */
export const operatorTopic = 'keyed.op';
/** Number of partitions, and so of shards that the daemons share out. */
export const shardCount = 32;
