/**
 * Loads a bundled program together with the code that V8 compiled when the program was built. A daemon
 * starts in less time with it; without it, or if it was made by another version of Node.js or with
 * other options, the program is compiled anew.
 */
import { readFileSync, renameSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname } from 'node:path';
import { Script } from 'node:vm';

/** A CommonJS module, as its wrapper is called. */
type ModuleFunction = (
  exports: Record<string, unknown>,
  require: NodeJS.Require,
  module: { exports: Record<string, unknown> },
  filename: string,
  directory: string,
) => void;

export class CachedProgram {
  private constructor(
    private readonly path: string,
    private readonly script: Script,
  ) {}

  /**
   * Reads a program and its code cache, which is in a file beside it.
   *
   * @param path - path of a CommonJS bundle
   * @throws Error if the program cannot be read
   */
  static create(path: string): CachedProgram {
    const source = readFileSync(path, 'utf8');
    const cachedData = readCodeCache(path);
    const wrapped = `(function (exports, require, module, __filename, __dirname) { ${source}\n})`;
    const script = new Script(wrapped, {
      filename: path,
      ...(cachedData === undefined ? {} : { cachedData }),
    });
    return new CachedProgram(path, script);
  }

  /** Whether a code cache was found and could be used. */
  get usesCodeCache(): boolean {
    return this.script.cachedDataRejected === false;
  }

  /** Runs the program; returns what it exports. */
  run(): Record<string, unknown> {
    const { path, script } = this;
    const program = { exports: {} };
    const run = script.runInThisContext() as ModuleFunction;
    run(program.exports, createRequire(path), program, path, dirname(path));
    return program.exports;
  }

  /** Writes the code of all functions that have been called so far, for later starts. */
  writeCodeCache(): void {
    const path = codeCachePath(this.path);
    const unfinished = `${path}.${process.pid}`;
    writeFileSync(unfinished, this.script.createCachedData());
    renameSync(unfinished, path);
  }
}

const codeCachePath = (path: string): string => `${path}.cache`;

const readCodeCache = (path: string): Buffer | undefined => {
  try {
    return readFileSync(codeCachePath(path));
  } catch {
    // The build could not make it; the program runs without it.
    return undefined;
  }
};
