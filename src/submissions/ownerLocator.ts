/**
 * Decides who owns a key, and whether this daemon may answer for that owner.
 */
import { unreachable } from '../errors/unreachable.js';
import type { SubmissionRef } from '../ports/peers.js';
import type { AdoptedTables } from './adoptedTables.js';
import type { OwnerLookup, PlainKeyResolver } from './plainKeyResolver.js';
import { parseSubmissionKey } from './submissionKey.js';

/** Who answers for the owner of a key: this daemon itself, its adopted tables, or a peer. */
export type OwnerLocation = 'local' | 'adopted' | 'remote';

export interface OwnerLocatorOptions {
  readonly incarnation: string;
  readonly adoptedTables: AdoptedTables;
  readonly plainKeys: PlainKeyResolver;
}

export class OwnerLocator {
  private constructor(private readonly options: OwnerLocatorOptions) {}

  static create(options: OwnerLocatorOptions): OwnerLocator {
    return new OwnerLocator(options);
  }

  /**
   * Decides who answers for the owner of a key. Only a complete adopted table does; until then
   * requests go to a peer.
   */
  locate({ owner }: SubmissionRef): OwnerLocation {
    if (owner.incarnation === this.options.incarnation) {
      return 'local';
    }
    return this.options.adoptedTables.isComplete(owner.incarnation) ? 'adopted' : 'remote';
  }

  /** Finds the owner of a caller's key: an owned key names it, for a plain key the claims do. */
  find(callerId: string, keyText: string): OwnerLookup {
    const key = parseSubmissionKey(keyText);
    if (key.isErr()) {
      return { kind: 'refusal', problem: key.error };
    }
    switch (key.value.form) {
      case 'owned':
        return { kind: 'owner', ref: { callerId, key: key.value.text, owner: key.value.owner } };
      case 'plain':
        return this.options.plainKeys.findOwner(callerId, key.value.text);
      default:
        return unreachable(key.value);
    }
  }

  /**
   * Checks whether the owner that a request names is certainly the owner of its key: an owned key
   * must name the same one, and a plain key needs a claim proven to be the first.
   */
  isProvenOwner(request: SubmissionRef): boolean {
    const key = parseSubmissionKey(request.key);
    if (key.isErr()) {
      return false;
    }
    switch (key.value.form) {
      case 'owned':
        return (
          key.value.owner.incarnation === request.owner.incarnation &&
          key.value.owner.epoch === request.owner.epoch
        );
      case 'plain':
        return this.options.plainKeys.isProvenFirst(request);
      default:
        return unreachable(key.value);
    }
  }
}
