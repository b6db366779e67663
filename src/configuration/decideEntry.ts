/**
 * The rule that decides what an entry of the configuration stream does. Every reader uses it, so that
 * all daemons agree on the record in force.
 */
import type { Fault } from '../config/fault.js';
import { unreachable } from '../errors/unreachable.js';
import { checkConfiguration } from './checkConfiguration.js';
import { configurationEntrySchema } from '../types/configuration.js';
import type { ConfigurationEntry, ConfigurationRecord } from '../types/configuration.js';

/** What an entry does to the version in force. */
export type EntryDecision =
  | { readonly kind: 'replaces'; readonly record: ConfigurationRecord }
  /** Another copy of the record in force. */
  | { readonly kind: 'repeats'; readonly record: ConfigurationRecord }
  /** The entry names another base than the version in force, or has an older version. */
  | { readonly kind: 'conflicts'; readonly record: ConfigurationRecord }
  | { readonly kind: 'invalid'; readonly faults: readonly Fault[] };

/** The result of checking an entry's schema and the references in its configuration. */
export type CheckedEntry =
  | { readonly kind: 'valid'; readonly entry: ConfigurationEntry }
  | { readonly kind: 'invalid'; readonly faults: readonly Fault[] };

/**
 * Checks an entry of unknown shape: its schema and the configuration in it.
 *
 * @param value - the value that was read from the stream
 */
export const checkEntry = (value: unknown): CheckedEntry => {
  const parsed = configurationEntrySchema.safeParse(value);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(({ path, message }) => ({ path, message }));
    return { kind: 'invalid', faults };
  }
  const checked = checkConfiguration(parsed.data.record.configuration);
  return checked.isErr()
    ? { kind: 'invalid', faults: checked.error }
    : { kind: 'valid', entry: parsed.data };
};

/**
 * Decides on one entry, given the outcome of all earlier ones.
 *
 * @param inForce - the record in force before the entry, or nothing before the first record
 * @param checked - the checked entry
 * @returns what the entry does
 */
export const decideEntry = (
  inForce: ConfigurationRecord | undefined,
  checked: CheckedEntry,
): EntryDecision => {
  if (checked.kind === 'invalid') {
    return checked;
  }
  const { entry } = checked;
  const { record } = entry;
  if (inForce !== undefined && isSameRecord(record, inForce)) {
    return { kind: 'repeats', record };
  }
  return { kind: isReplacement(inForce?.version ?? 0, entry) ? 'replaces' : 'conflicts', record };
};

const isReplacement = (version: number, { kind, record }: ConfigurationEntry): boolean => {
  switch (kind) {
    case 'publication':
      return record.baseVersion === version && record.version === version + 1;
    case 'checkpoint':
      // Its record was in force at an earlier offset, and all entries since then are decided.
      return false;
    case 'reset':
      return record.version > version;
    default:
      return unreachable(kind);
  }
};

const isSameRecord = (a: ConfigurationRecord, b: ConfigurationRecord): boolean =>
  a.version === b.version && a.publicationId === b.publicationId;
