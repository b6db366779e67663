/**
 * Switches `roarr` on. It reads the variable once, when it is first imported, and would drop every
 * line otherwise; the level of our settings decides what is written. Import this module first.
 */
process.env.ROARR_LOG = 'true';
