import { readFileSync, readdirSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import ts from 'typescript';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const root = resolve(import.meta.dirname, '..');

const listModules = (folder: string): string[] =>
  readdirSync(join(root, folder), { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(root, folder, name));

/** @returns the modules that a module imports by a relative path */
const listImports = (module: string): string[] =>
  ts
    .preProcessFile(readFileSync(module, 'utf8'))
    .importedFiles.map(({ fileName }) => fileName)
    .filter((name) => name.startsWith('.'))
    .map((name) => resolve(dirname(module), name.replace(/\.js$/, '.ts')));

/** Finds import cycles by a depth-first search; each is written as its modules joined by `->`. */
const findImportCycles = (imports: ReadonlyMap<string, readonly string[]>): string[] => {
  const cycles: string[] = [];
  const done = new Set<string>();
  const visit = (module: string, path: readonly string[]): void => {
    const cycleStart = path.indexOf(module);
    if (cycleStart >= 0) {
      cycles.push([...path.slice(cycleStart), module].join(' -> '));
      return;
    }
    if (!done.has(module)) {
      imports.get(module)?.forEach((next) => visit(next, [...path, module]));
      done.add(module);
    }
  };
  [...imports.keys()].forEach((module) => visit(module, []));
  return cycles;
};

test('findImportCycles finds a cycle', () => {
  const imports = new Map([
    ['a', ['b']],
    ['b', ['c']],
    ['c', ['b']],
  ]);
  assert.equal(findImportCycles(imports), ['b -> c -> b']);
});

test('the modules of src, platform and standins have no import cycle', () => {
  const modules = ['src', 'platform', 'standins'].flatMap(listModules);
  assert.equal(
    findImportCycles(new Map(modules.map((module) => [module, listImports(module)]))),
    [],
  );
});

test.run();
