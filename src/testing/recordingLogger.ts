/**
 * A logger that keeps its lines, for tests.
 */
import type { LogContext, Logger } from '../ports/logger.js';

export interface RecordingLogger {
  readonly logger: Logger;
  /** Each line: level, prefix and sentence, then the values of its context, separated by spaces. */
  readonly lines: readonly string[];
}

/** Creates a logger without lines. */
export const recordingLogger = (): RecordingLogger => {
  const lines: string[] = [];
  const createLogger = (prefix: string): Logger => {
    const record =
      (level: string) =>
      (sentence: string, context: LogContext = {}): void =>
        void lines.push(
          [level, prefix + sentence, ...Object.values(context).map(String)].join(' '),
        );
    return {
      debug: record('debug'),
      info: record('info'),
      warn: record('warn'),
      error: record('error'),
      forPart: (part) => createLogger(`${part}: `),
    };
  };
  return { logger: createLogger(''), lines };
};
