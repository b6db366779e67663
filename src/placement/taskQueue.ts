/**
 * The queue that the scheduler takes tasks from.
 */
export { TaskQueue } from '../queue/taskQueue.js';
export type { WaitingTask } from '../queue/types.js';
