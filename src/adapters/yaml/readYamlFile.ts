/**
 * Reads and validates YAML files, and reports each fault with its line.
 */
import { readFileSync } from 'node:fs';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { LineCounter, isNode, parseDocument } from 'yaml';
import type { Document } from 'yaml';
import type { Fault } from '../../config/fault.js';
import { formatPath } from '../../errors/zodProblem.js';

const maxFileBytes = 16_777_216;
/** Limits the expansion of aliases, so that a small file cannot exhaust the memory. */
const maxAliases = 100;

/** A fault and its position in the file. */
export interface LocatedFault {
  /** Line number, from 1; 0 where the file cannot be read. */
  readonly line: number;
  /** Path of the field, such as `callers[1].callerId`; empty for the file as a whole. */
  readonly path: string;
  readonly message: string;
  readonly hint?: string;
}

/** Validates a parsed document. */
export type Check<T> = (value: unknown) => Result<T, Fault[]>;

/**
 * Reads and validates a YAML file.
 *
 * @param file - path of the file
 * @param check - validates the parsed document
 * @returns the validated content, or all faults with their lines
 */
export const readYamlFile = <T>(file: string, check: Check<T>): Result<T, LocatedFault[]> => {
  const text = readFileText(file);
  if (text.isErr()) {
    return Err([{ line: 0, path: '', message: text.error }]);
  }
  return parseYaml(text.value, check);
};

/**
 * Parses and validates YAML.
 *
 * @param text - one document
 * @param check - validates the parsed document
 * @returns the validated content, or all faults with their lines
 */
export const parseYaml = <T>(text: string, check: Check<T>): Result<T, LocatedFault[]> => {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
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
    faults.map((fault) => locateFault(fault, document, lineCounter)),
  );
};

/**
 * Formats a fault as one line: file, line, path, message and hint.
 *
 * @param file - path of the file, as shown to the user
 * @param fault - the fault
 */
export const formatFault = (file: string, fault: LocatedFault): string => {
  const place = fault.path === '' ? '' : ` ${fault.path}:`;
  const hint = fault.hint === undefined ? '' : ` (${fault.hint})`;
  return `${file}:${fault.line}:${place} ${fault.message}${hint}`;
};

/**
 * Reads a file of limited size.
 *
 * @param file - path of the file
 * @returns its text, or a sentence on why it cannot be read
 */
export const readFileText = (file: string): Result<string, string> => {
  try {
    const bytes = readFileSync(file);
    return bytes.length > maxFileBytes
      ? Err(`The file has more than ${maxFileBytes} bytes.`)
      : Ok(bytes.toString('utf8'));
  } catch (error) {
    return Err(`The file cannot be read: ${String(error)}.`);
  }
};

/** Finds the line of a fault; where its node is missing, the line of the nearest ancestor. */
const locateFault = (fault: Fault, document: Document, lineCounter: LineCounter): LocatedFault => {
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
