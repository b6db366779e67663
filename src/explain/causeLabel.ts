/**
 * The cause of an end, as metrics name it: a reason without the details that the log has.
 */
const noCause = 'none';

/**
 * Shortens the reason of an outcome.
 *
 * @param outcome - with a reason, or without one
 * @returns one of few texts
 */
export const causeLabel = (outcome: object): string =>
  'reason' in outcome && typeof outcome.reason === 'string'
    ? (outcome.reason.split(':')[0] ?? noCause)
    : noCause;
