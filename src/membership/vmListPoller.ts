/**
 * Polls the platform's list of VMs, which lags. While it is unavailable, the last list counts.
 */
import type { Clock } from '../ports/clock.js';
import type { VmList, VmRecord } from '../ports/vmList.js';

const pollPeriodMs = 1_000;

export interface VmListPollerOptions {
  readonly clock: Clock;
  readonly vmList: VmList;
  /** Called every period with the last list that was read, also when this read failed. */
  readonly onList: (vms: readonly VmRecord[]) => Promise<void>;
  /** Called when the set of VMs that are leaving has changed. */
  readonly onLeavingChange: () => void;
}

export class VmListPoller {
  private readonly stop = new AbortController();
  private readonly done: Promise<void>;
  private vms: readonly VmRecord[] = [];
  /** Ids of the VMs that the list marks as leaving. */
  private leaving: ReadonlySet<string> = new Set();

  private constructor(private readonly options: VmListPollerOptions) {
    this.done = this.poll();
  }

  static create(options: VmListPollerOptions): VmListPoller {
    return new VmListPoller(options);
  }

  /**
   * Checks whether the list marks a VM as leaving.
   *
   * @param vmId - the VM of a daemon or of an endpoint
   */
  isLeaving(vmId: string): boolean {
    return this.leaving.has(vmId);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async poll(): Promise<void> {
    const { clock, vmList, onList } = this.options;
    const { signal } = this.stop;
    while (!signal.aborted) {
      const listed = await vmList.list(signal);
      this.vms = listed.unwrapOr(this.vms);
      await onList(this.vms);
      this.updateLeaving(this.vms);
      await clock.sleep(pollPeriodMs, signal);
    }
  }

  private updateLeaving(vms: readonly VmRecord[]): void {
    const leaving = new Set(vms.flatMap((vm) => (vm.state === 'leaving' ? [vm.vmId] : [])));
    const hasChanged =
      leaving.size !== this.leaving.size || [...leaving].some((vmId) => !this.leaving.has(vmId));
    this.leaving = leaving;
    if (hasChanged) {
      this.options.onLeavingChange();
    }
  }
}
