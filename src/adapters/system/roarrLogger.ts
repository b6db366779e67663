/**
 * Structured logging by `roarr`: one JSON line for each message, to the standard output.
 */
import './enableRoarr.js';
import { ROARR, Roarr } from 'roarr';
import { LineBuffer } from './lineBuffer.js';

import { logLevelSchema } from '../../config/settings.js';
import type { LogLevel } from '../../config/settings.js';
import type { LogContext, Logger } from '../../ports/logger.js';

const levelOrder: readonly LogLevel[] = logLevelSchema.options;

/** Writes one log line, without a line break at its end. */
export type LineWriter = (line: string) => void;

const standardOutput = LineBuffer.create();
process.once('exit', () => standardOutput.close());

/** Destination of the log lines. */
export interface LogOutput {
  /** Writes each line; the standard output by default. */
  readonly write?: LineWriter | undefined;
  /** Called with the number of lines that were dropped because the output was not read in time. */
  readonly onDropped?: (count: number) => void;
}

/** The lowest level that is written, shared by the loggers of all parts of the process. */
interface Threshold {
  level: LogLevel;
}

export class RoarrLogger implements Logger {
  private constructor(
    private readonly threshold: Threshold,
    private readonly prefix: string,
    private readonly vmId: string,
  ) {}

  /**
   * Creates the logger of a process.
   *
   * @param level - lowest level that is written
   * @param vmId - the VM, added to the context of every line
   * @param output - destination of the lines
   */
  static create(level: LogLevel, vmId: string, { write, onDropped }: LogOutput = {}): RoarrLogger {
    const logger = new RoarrLogger({ level }, '', vmId);
    ROARR.write = write ?? ((line) => logger.writeToStandardOutput(line, onDropped));
    return logger;
  }

  /** Sets the lowest level that is written, for all parts. */
  setLevel(level: LogLevel): void {
    this.threshold.level = level;
  }

  forPart(prefix: string): Logger {
    return new RoarrLogger(this.threshold, `${prefix}: `, this.vmId);
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

  private writeToStandardOutput(line: string, onDropped: LogOutput['onDropped']): void {
    standardOutput.add(line);
    const count = standardOutput.readAndResetDroppedCount();
    if (count > 0) {
      onDropped?.(count);
      this.warn('log: Lines were dropped, since the output was not read in time.', { count });
    }
  }

  private write(level: Exclude<LogLevel, 'off'>, sentence: string, context?: LogContext): void {
    if (levelOrder.indexOf(level) < levelOrder.indexOf(this.threshold.level)) {
      return;
    }
    Roarr[level]({ vmId: this.vmId, ...context }, `${this.prefix}${sentence}`);
  }
}
