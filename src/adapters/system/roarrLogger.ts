/**
 * The structured log: one JSON line for each sentence, by `roarr`, to the standard output.
 */
import './enableRoarr.js';
import { ROARR, Roarr } from 'roarr';
import { LineBuffer } from './lineBuffer.js';

import { logLevelSchema } from '../../config/settings.js';
import type { LogLevel } from '../../config/settings.js';
import type { LogContext, Logger } from '../../ports/logger.js';

const levelOrder: readonly LogLevel[] = logLevelSchema.options;

/** Takes one line of the log. */
export type LineWriter = (line: string) => void;

const standardOutput = LineBuffer.create();
process.once('exit', () => standardOutput.close());

/** Where lines go, and who is told of those that were dropped. */
export interface LogOutput {
  /** Takes each line; the standard output without it. */
  readonly write?: LineWriter | undefined;
  /** Called with the number of lines that were dropped because nobody read them in time. */
  readonly onDropped?: (count: number) => void;
}

export class RoarrLogger implements Logger {
  private constructor(
    private readonly level: LogLevel,
    private readonly prefix: string,
    private readonly vmId: string,
  ) {}

  /**
   * Creates the log of a process.
   *
   * @param level - the lowest level that is written
   * @param vmId - the VM that every line names
   * @param output - where the lines go
   */
  static create(level: LogLevel, vmId: string, { write, onDropped }: LogOutput = {}): RoarrLogger {
    const logger = new RoarrLogger(level, '', vmId);
    ROARR.write = write ?? ((line) => logger.writeOut(line, onDropped));
    return logger;
  }

  forPart(prefix: string): Logger {
    return new RoarrLogger(this.level, `${prefix}: `, this.vmId);
  }

  debug(sentence: string, context?: LogContext): void {
    this.write('debug', sentence, context);
  }

  info(sentence: string, context?: LogContext): void {
    this.write('info', sentence, context);
  }

  warn(sentence: string, context?: LogContext): void {
    this.write('warn', sentence, context);
  }

  error(sentence: string, context?: LogContext): void {
    this.write('error', sentence, context);
  }

  private writeOut(line: string, onDropped: LogOutput['onDropped']): void {
    standardOutput.add(line);
    const count = standardOutput.takeDropped();
    if (count > 0) {
      onDropped?.(count);
      this.warn('log: Lines were dropped, since nobody read them in time.', { count });
    }
  }

  private write(level: Exclude<LogLevel, 'off'>, sentence: string, context?: LogContext): void {
    if (levelOrder.indexOf(level) < levelOrder.indexOf(this.level)) {
      return;
    }
    Roarr[level]({ vmId: this.vmId, ...context }, `${this.prefix}${sentence}`);
  }
}
