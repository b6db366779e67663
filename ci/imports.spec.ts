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

const importsOf = (module: string): string[] =>
  ts
    .preProcessFile(readFileSync(module, 'utf8'))
    .importedFiles.map(({ fileName }) => fileName)
    .filter((name) => name.startsWith('.'))
    .map((name) => resolve(dirname(module), name.replace(/\.js$/, '.ts')));

/** Lists each circle of imports once, by the modules on it. */
const findCircles = (imports: ReadonlyMap<string, readonly string[]>): string[] => {
  const circles: string[] = [];
  const done = new Set<string>();
  const visit = (module: string, path: readonly string[]): void => {
    const start = path.indexOf(module);
    if (start >= 0) {
      circles.push([...path.slice(start), module].join(' -> '));
      return;
    }
    if (!done.has(module)) {
      imports.get(module)?.forEach((next) => visit(next, [...path, module]));
      done.add(module);
    }
  };
  [...imports.keys()].forEach((module) => visit(module, []));
  return circles;
};

test('a circle of imports is found', () => {
  const imports = new Map([
    ['a', ['b']],
    ['b', ['c']],
    ['c', ['b']],
  ]);
  assert.equal(findCircles(imports), ['b -> c -> b']);
});

test('no module imports itself by way of others', () => {
  const modules = ['src', 'platform', 'standins'].flatMap(listModules);
  assert.equal(findCircles(new Map(modules.map((module) => [module, importsOf(module)]))), []);
});

test.run();
