/** Reason passed to `abort`; without one, `abort` creates an exception as the reason. */
const abortReason = 'over';

/**
 * Aborts without creating an exception, whose stack trace would cost more than the wait that it ends.
 *
 * @param controller - the controller; no reader of its signal may depend on the abort reason
 */
export const abortQuietly = (controller: AbortController): void => controller.abort(abortReason);
