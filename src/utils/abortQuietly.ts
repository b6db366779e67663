/** Passed as the reason of the abort, since without one `abort` creates an exception. */
const abortReason = 'over';

/**
 * Aborts without creating an exception, whose stack trace would cost more than the wait that it ends.
 *
 * @param controller - controller whose signals nobody reads the abort reason of
 */
export const abortQuietly = (controller: AbortController): void => controller.abort(abortReason);
