/**
 * Reads YAML files and finds the line of each fault.
 */
import { readFileSync } from 'node:fs';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { LineCounter, isNode, parseDocument } from 'yaml';
import type { Document } from 'yaml';
import type { Fault } from '../../config/fault.js';
import { formatPath } from '../../errors/zodProblem.js';

const maxFileBytes = 16_777_216;
const maxAliases = 100;

/** A fault with its place in the file. */
export interface LocatedFault {
  readonly line: number;
  readonly path: string;
  readonly message: string;
  readonly hint?: string;
}

/** A checking function of a schema. */
export type Check<T> = (value: unknown) => Result<T, Fault[]>;

/**
 * Reads and checks a YAML file.
 *
 * @param file - path of the file
 * @param check - the check of its content
 * @returns the content, or every fault with its line
 */
export const readYamlFile = <T>(file: string, check: Check<T>): Result<T, LocatedFault[]> => {
  const text = readText(file);
  if (text.isErr()) {
    return Err([{ line: 0, path: '', message: text.error }]);
  }
  const lineCounter = new LineCounter();
  const document = parseDocument(text.value, { lineCounter });
  if (document.errors.length > 0) {
    return Err(
      document.errors.map((error) => ({
        line: lineCounter.linePos(error.pos[0]).line,
        path: '',
        message: error.message.split('\n', 1)[0] ?? '',
      })),
    );
  }
  return check(document.toJS({ maxAliasCount: maxAliases })).mapErr((faults) =>
    faults.map((fault) => locate(fault, document, lineCounter)),
  );
};

/**
 * Writes a fault as one line.
 *
 * @param file - path of the file
 * @param fault - the fault
 */
export const formatFault = (file: string, fault: LocatedFault): string => {
  const place = fault.path === '' ? '' : ` ${fault.path}:`;
  const hint = fault.hint === undefined ? '' : ` (${fault.hint})`;
  return `${file}:${fault.line}:${place} ${fault.message}${hint}`;
};

const readText = (file: string): Result<string, string> => {
  try {
    const bytes = readFileSync(file);
    return bytes.length > maxFileBytes
      ? Err(`The file has more than ${maxFileBytes} bytes.`)
      : Ok(bytes.toString('utf8'));
  } catch (error) {
    return Err(`The file cannot be read: ${String(error)}.`);
  }
};

/** Takes the line of the nearest node above a fault whose own node is missing. */
const locate = (fault: Fault, document: Document, lineCounter: LineCounter): LocatedFault => {
  const keys = fault.path.map((key) => (typeof key === 'symbol' ? key.toString() : key));
  for (let length = keys.length; length >= 0; length -= 1) {
    const node = document.getIn(keys.slice(0, length), true);
    if (isNode(node) && node.range !== undefined && node.range !== null) {
      const { line } = lineCounter.linePos(node.range[0]);
      return { ...fault, line, path: formatPath(fault.path) };
    }
  }
  return { ...fault, line: 1, path: formatPath(fault.path) };
};
