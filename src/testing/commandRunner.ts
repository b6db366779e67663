/**
 * Runs a command of the operators' tool inside a test.
 */
import { PassThrough } from 'node:stream';
import { Cli } from 'clipanion';
import type { CommandClass } from 'clipanion';

/** How a command ended, with what it wrote to both of its outputs. */
export interface CommandRun {
  readonly exitCode: number;
  readonly text: string;
}

/**
 * Creates a function that runs commands by their parameters, with an empty environment.
 *
 * @param commands - the commands that the tool knows
 */
export const commandRunner =
  (commands: CommandClass[]) =>
  async (...parameters: readonly string[]): Promise<CommandRun> => {
    const output = new PassThrough();
    const streams = { stdin: process.stdin, stdout: output, stderr: output };
    const exitCode = await Cli.from(commands).run([...parameters], {
      ...streams,
      env: {},
      colorDepth: 1,
    });
    output.end();
    return { exitCode, text: String(output.read() ?? '') };
  };
