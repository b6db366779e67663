/**
 * Network partitions: cuts failure domains off from one another and from the platform.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { LogPage, LogService, LogServiceError } from '../src/ports/logService.js';
import type { VmList, VmListError, VmRecord } from '../src/ports/vmList.js';

/** The failure domains that are currently cut off. */
export class LinkCuts {
  private readonly cutOffDomainIds = new Set<string>();

  private constructor() {
    // Built by create.
  }

  static create(): LinkCuts {
    return new LinkCuts();
  }

  /** Cuts a failure domain off from all others and from the platform. */
  cut(failureDomainId: string): void {
    this.cutOffDomainIds.add(failureDomainId);
  }

  /** Restores all links. */
  heal(): void {
    this.cutOffDomainIds.clear();
  }

  /** @returns whether the failure domain is cut off */
  isCutOff(failureDomainId: string): boolean {
    return this.cutOffDomainIds.has(failureDomainId);
  }

  /** @returns whether messages reach one failure domain from the other; within one they always do */
  isOpen(fromId: string, toId: string): boolean {
    return fromId === toId || !(this.cutOffDomainIds.has(fromId) || this.cutOffDomainIds.has(toId));
  }
}

/** Returns whether the link is open now. */
type OpenCheck = () => boolean;

const linkCutError = { kind: 'unreachable', detail: 'The link to the platform is cut.' } as const;

/** A log client whose calls fail as unreachable while its link is cut. */
export class CuttableLogService implements LogService {
  private constructor(
    private readonly inner: LogService,
    private readonly isOpen: OpenCheck,
  ) {}

  static create(inner: LogService, isOpen: OpenCheck): CuttableLogService {
    return new CuttableLogService(inner, isOpen);
  }

  async append(
    stream: string,
    values: readonly unknown[],
    signal: AbortSignal,
  ): Promise<Result<number, LogServiceError>> {
    return this.isOpen() ? this.inner.append(stream, values, signal) : Err(linkCutError);
  }

  /** Fails also if the link is cut when the read's wait ends. */
  async read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LogPage, LogServiceError>> {
    if (!this.isOpen()) {
      return Err(linkCutError);
    }
    const page = await this.inner.read(stream, fromOffset, waitMs, signal);
    return this.isOpen() ? page : Err(linkCutError);
  }

  close(): Promise<void> {
    return this.inner.close();
  }
}

/** A VM list client whose calls fail as unreachable while its link is cut. */
export class CuttableVmList implements VmList {
  private constructor(
    private readonly inner: VmList,
    private readonly isOpen: OpenCheck,
  ) {}

  static create(inner: VmList, isOpen: OpenCheck): CuttableVmList {
    return new CuttableVmList(inner, isOpen);
  }

  async list(signal: AbortSignal): Promise<Result<readonly VmRecord[], VmListError>> {
    return this.isOpen() ? this.inner.list(signal) : Err(linkCutError);
  }

  close(): Promise<void> {
    return this.inner.close();
  }
}
