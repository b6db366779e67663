/**
 * Checks that every relative link in the Markdown files of the root and of `docs/` points to a file that
 * exists. Prints the broken links and exits with status 1 if there are any.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';

const root = resolve(import.meta.dirname, '..');
/** Matches the target of a relative Markdown link, without its fragment. */
const linkPattern = /\]\((?!https?:|mailto:|#)([^)#\s]+)(#[^)]*)?\)/g;

const listPages = (): string[] =>
  ['.', 'docs']
    .flatMap((folder) => readdirSync(join(root, folder)).map((name) => join(root, folder, name)))
    .filter((path) => path.endsWith('.md'));

const findBrokenLinks = (page: string): string[] =>
  [...readFileSync(page, 'utf8').matchAll(linkPattern)]
    .map((match) => match[1] ?? '')
    .filter((linkTarget) => !existsSync(join(dirname(page), linkTarget)))
    .map((linkTarget) => `${page}: link to ${linkTarget}, which does not exist.`);

const pages = listPages();
const brokenLinks = pages.flatMap(findBrokenLinks);
for (const message of brokenLinks) {
  process.stderr.write(`${message}\n`);
}
process.stdout.write(`${pages.length} pages checked, ${brokenLinks.length} broken links.\n`);
process.exitCode = brokenLinks.length === 0 ? 0 : 1;
