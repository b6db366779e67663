/**
 * Follows the platform's lagging list of VMs. While the list is out, the last one counts.
 */
import type { Clock } from '../ports/clock.js';
import type { VmList, VmRecord } from '../ports/vmList.js';

const periodMs = 1_000;

export interface VmListFollowerOptions {
  readonly clock: Clock;
  readonly vmList: VmList;
  /** Called every period with the last list that was read. */
  readonly onList: (vms: readonly VmRecord[]) => Promise<void>;
  /** Called when the set of leaving VMs has changed. */
  readonly onLeavingChange: () => void;
}

export class VmListFollower {
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  private vms: readonly VmRecord[] = [];
  private leaving: ReadonlySet<string> = new Set();

  private constructor(private readonly options: VmListFollowerOptions) {
    this.done = this.follow();
  }

  static create(options: VmListFollowerOptions): VmListFollower {
    return new VmListFollower(options);
  }

  /**
   * Tells whether the list says that a VM goes.
   *
   * @param vmId - a VM of the system, or of an endpoint
   */
  isLeaving(vmId: string): boolean {
    return this.leaving.has(vmId);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async follow(): Promise<void> {
    const { clock, vmList, onList } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      const listed = await vmList.list(signal);
      this.vms = listed.unwrapOr(this.vms);
      await onList(this.vms);
      this.takeLeaving(this.vms);
      await clock.sleep(periodMs, signal);
    }
  }

  private takeLeaving(vms: readonly VmRecord[]): void {
    const leaving = new Set(vms.flatMap((vm) => (vm.state === 'leaving' ? [vm.vmId] : [])));
    const hasChanged =
      leaving.size !== this.leaving.size || [...leaving].some((vmId) => !this.leaving.has(vmId));
    this.leaving = leaving;
    if (hasChanged) {
      this.options.onLeavingChange();
    }
  }
}
