/**
 * Topics of the store that stand-ins write to, and the size of its groups.
 */
export const workerTopic = 'keyed.servers';
export const operatorTopic = 'keyed.op';
/** Partitions of each topic. */
export const shardCount = 32;
