/** Port to the platform's list of VMs, which lags behind the state of the VMs. */
import type { Result } from 'ts-results-es';
import { z } from 'zod';

export const vmRecordSchema = z.object({
  vmId: z.string(),
  failureDomainId: z.string(),
  /** Address of the peers' interface: IP number and port; missing where no daemon runs. */
  peerAddress: z.string().optional(),
  state: z.enum(['live', 'leaving']),
  /** Relative size of the VM. */
  weight: z.number().positive(),
});
export type VmRecord = z.infer<typeof vmRecordSchema>;

export interface VmListError {
  readonly kind: 'unreachable';
  readonly detail: string;
}

export interface VmList {
  list(signal: AbortSignal): Promise<Result<readonly VmRecord[], VmListError>>;
  close(): Promise<void>;
}
