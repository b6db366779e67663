/**
 * A VM list in memory, whose rows a test sets.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { VmList, VmListError, VmRecord } from '../ports/vmList.js';

export class FakeVmList implements VmList {
  vms: VmRecord[] = [];
  /** Whether the platform's VM list is unreachable. */
  isUnreachable = false;

  private constructor() {
    // Built by create.
  }

  static create(): FakeVmList {
    return new FakeVmList();
  }

  list(_signal: AbortSignal): Promise<Result<readonly VmRecord[], VmListError>> {
    return Promise.resolve(
      this.isUnreachable
        ? Err({ kind: 'unreachable', detail: 'The VM list is unreachable.' })
        : Ok(this.vms),
    );
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
