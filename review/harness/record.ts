/**
 * The record of a script: what was sent, answered and run, with the milliseconds since its start.
 */
import { appendFileSync, writeFileSync } from 'node:fs';

export class Record {
  private constructor(
    private readonly path: string,
    private readonly startMs: number,
  ) {}

  /** Starts an empty record. */
  static create(path: string): Record {
    writeFileSync(path, '');
    return new Record(path, performance.now());
  }

  /** @returns milliseconds since the start of the script */
  nowMs(): number {
    return performance.now() - this.startMs;
  }

  /** Adds a line, which also goes to the standard output. */
  write(line: string): void {
    const text = `${this.nowMs().toFixed(1).padStart(9)}  ${line}\n`;
    appendFileSync(this.path, text);
    process.stdout.write(text);
  }
}
