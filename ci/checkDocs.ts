/**
 * Checks that every relative link in the Markdown pages points to a file that exists.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';

const root = resolve(import.meta.dirname, '..');
const linkPattern = /\]\((?!https?:|mailto:|#)([^)#\s]+)(#[^)]*)?\)/g;

const listPages = (): string[] =>
  ['.', 'docs']
    .flatMap((folder) => readdirSync(join(root, folder)).map((name) => join(root, folder, name)))
    .filter((path) => path.endsWith('.md'));

const findBrokenLinks = (page: string): string[] =>
  [...readFileSync(page, 'utf8').matchAll(linkPattern)]
    .map((match) => match[1] ?? '')
    .filter((target) => !existsSync(join(dirname(page), target)))
    .map((target) => `${page}: link to ${target}, which does not exist.`);

const pages = listPages();
const broken = pages.flatMap(findBrokenLinks);
for (const line of broken) {
  process.stderr.write(`${line}\n`);
}
process.stdout.write(`${pages.length} pages checked, ${broken.length} broken links.\n`);
process.exitCode = broken.length === 0 ? 0 : 1;
