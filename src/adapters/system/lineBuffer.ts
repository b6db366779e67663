/**
 * Writes log lines in batches, from a thread of Node's pool, so that a slow reader of the output does
 * not block the event loop. Lines that do not fit into the buffer are dropped and counted.
 */
import { write, writeSync } from 'node:fs';

const standardOutput = 1;
const flushPeriodMs = 100;
const maxBufferedChars = 524_288;

export class LineBuffer {
  private lines: string[] = [];
  private bufferedChars = 0;
  private droppedLines = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly fd: number) {}

  /**
   * @param fd - file descriptor to write to; the standard output by default
   */
  static create(fd = standardOutput): LineBuffer {
    return new LineBuffer(fd);
  }

  /**
   * Returns the number of lines dropped since the last call, and resets it. Returns 0 and keeps the
   * number while the buffer is at least half full, so that there is room for a message about it.
   */
  readAndResetDroppedCount(): number {
    const dropped = this.bufferedChars < maxBufferedChars / 2 ? this.droppedLines : 0;
    this.droppedLines -= dropped;
    return dropped;
  }

  /** Adds a line, without a line break at its end, or drops it if the buffer is full. */
  add(line: string): void {
    if (this.bufferedChars + line.length > maxBufferedChars) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(line);
    this.bufferedChars += line.length;
    this.timer ??= setTimeout(() => this.flush(), flushPeriodMs).unref();
  }

  /** Writes the remaining lines synchronously. */
  close(): void {
    clearTimeout(this.timer);
    if (this.lines.length > 0) {
      writeSync(this.fd, this.removeBufferedText());
    }
  }

  private flush(): void {
    this.timer = undefined;
    if (this.isWriting || this.lines.length === 0) {
      return;
    }
    this.isWriting = true;
    write(this.fd, this.removeBufferedText(), () => {
      this.isWriting = false;
      if (this.lines.length > 0) {
        this.timer ??= setTimeout(() => this.flush(), flushPeriodMs).unref();
      }
    });
  }

  /** Empties the buffer and returns its lines as one text, each with a line break. */
  private removeBufferedText(): string {
    const text = `${this.lines.join('\n')}\n`;
    this.lines = [];
    this.bufferedChars = 0;
    return text;
  }
}
