/**
 * A logger that discards everything.
 */
import type { Logger } from '../ports/logger.js';

export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  forPart: () => silentLogger,
};
