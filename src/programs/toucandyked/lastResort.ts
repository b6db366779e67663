/**
 * The last resort for errors that no task handles.
 *
 * A rejected promise that nothing waits for belongs to one task: a run, a peer, a request. The others
 * are not touched by it, and their leases and callers depend on this process, so that it is logged and
 * counted and the process goes on. An exception outside of every promise is another matter: it left some
 * callback half way, in code that cannot be told apart from the event loop's own, so that it ends the process as
 * before. Its runs then end with their leases, and its callers' channels break at once.
 */
import type { TaskSupervisor } from '../../utils/taskSupervisor.js';

/** Reports unhandled rejections from now on, in place of ending the process. */
export const reportUnhandledRejections = (supervisor: TaskSupervisor): void => {
  process.on('unhandledRejection', (error) =>
    supervisor.report('a task that nothing waits for', error),
  );
};
