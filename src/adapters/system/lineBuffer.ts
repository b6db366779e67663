/**
 * Writes log lines in batches, from a thread of Node's pool, so that a reader who is slow holds up
 * nothing. What does not fit into the buffer is dropped and counted.
 */
import { write, writeSync } from 'node:fs';

const standardOutput = 1;
const flushPeriodMs = 100;
const maxBufferedChars = 524_288;

export class LineBuffer {
  private lines: string[] = [];
  private chars = 0;
  private droppedLines = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly fd: number) {}

  /**
   * @param fd - where the lines go
   */
  static create(fd = standardOutput): LineBuffer {
    return new LineBuffer(fd);
  }

  /** @returns lines that were dropped since this was asked last; nothing while there is no room */
  takeDropped(): number {
    const dropped = this.chars < maxBufferedChars / 2 ? this.droppedLines : 0;
    this.droppedLines -= dropped;
    return dropped;
  }

  add(line: string): void {
    if (this.chars + line.length > maxBufferedChars) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(line);
    this.chars += line.length;
    this.timer ??= setTimeout(() => this.flush(), flushPeriodMs).unref();
  }

  /** Writes what is left, and waits for it. */
  close(): void {
    clearTimeout(this.timer);
    if (this.lines.length > 0) {
      writeSync(this.fd, this.take());
    }
  }

  private flush(): void {
    this.timer = undefined;
    if (this.isWriting || this.lines.length === 0) {
      return;
    }
    this.isWriting = true;
    write(this.fd, this.take(), () => {
      this.isWriting = false;
      if (this.lines.length > 0) {
        this.timer ??= setTimeout(() => this.flush(), flushPeriodMs).unref();
      }
    });
  }

  private take(): string {
    const text = `${this.lines.join('\n')}\n`;
    this.lines = [];
    this.chars = 0;
    return text;
  }
}
