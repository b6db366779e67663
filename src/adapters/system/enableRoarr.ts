/**
 * Enables `roarr`. It reads the environment variable once, when it is first imported, and discards
 * all lines if the variable is not set, so this module has to be imported before it. The log level of
 * the settings decides which lines are written.
 */
process.env.ROARR_LOG = 'true';
