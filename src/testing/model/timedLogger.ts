/**
 * A logger that writes each line with the time and the process it comes from.
 */
import type { LogContext, Logger } from '../../ports/logger.js';
import type { CreateLogger } from './modelFleet.js';

/** Creates loggers that write lines to `print`. */
export const createTimedLogger =
  (print: (line: string) => void): CreateLogger =>
  (name, clock) => {
    const forPart = (prefix: string): Logger => {
      const write =
        (level: string) =>
        (sentence: string, context: LogContext = {}): void =>
          print(
            `${clock.nowMs().toFixed(0)} ${name} ${level} ${prefix}${sentence} ${JSON.stringify(context)}`,
          );
      return {
        debug: () => undefined,
        info: write('info'),
        warn: write('warn'),
        error: write('error'),
        forPart: (part) => forPart(`${part}: `),
      };
    };
    return forPart('');
  };
