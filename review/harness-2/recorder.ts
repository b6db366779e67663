/**
 * Writes what was sent, answered and run to `record.txt` in the folder of a case: one line each, with the time since the
 * start of the script.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

export class Recorder {
  private readonly startedAtMs = performance.now();
  private readonly lines: string[] = [];

  private constructor(private readonly folder: string) {}

  /**
   * @param folder - the folder of the case
   */
  static create(folder: string): Recorder {
    return new Recorder(folder);
  }

  /** @returns the time since the start of the script, in milliseconds */
  sinceStartMs(atMs = performance.now()): number {
    return Math.round(atMs - this.startedAtMs);
  }

  add(what: string, detail: object = {}, atMs = performance.now()): void {
    const time = String(this.sinceStartMs(atMs)).padStart(7);
    this.lines.push(`${time} ms  ${what}  ${JSON.stringify(detail)}`);
  }

  /** Adds a line that is printed, too. */
  say(sentence: string): void {
    this.lines.push(sentence);
    process.stdout.write(`${sentence}\n`);
  }

  close(): void {
    writeFileSync(join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
  }
}
