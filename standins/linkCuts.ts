/**
 * Cuts failure domains off from one another and from the platform.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { LogPage, LogService, LogServiceError } from '../src/ports/logService.js';
import type { VmList, VmListError, VmRecord } from '../src/ports/vmList.js';

/** Which failure domains are cut off now. */
export class LinkCuts {
  private readonly cutOff = new Set<string>();

  private constructor() {
    // Built by create.
  }

  static create(): LinkCuts {
    return new LinkCuts();
  }

  /** Cuts a failure domain off from all others and from the platform. */
  cut(failureDomainId: string): void {
    this.cutOff.add(failureDomainId);
  }

  heal(): void {
    this.cutOff.clear();
  }

  isCutOff(failureDomainId: string): boolean {
    return this.cutOff.has(failureDomainId);
  }

  /** Tells whether messages pass from one failure domain to another. */
  isOpen(fromId: string, toId: string): boolean {
    return fromId === toId || !(this.cutOff.has(fromId) || this.cutOff.has(toId));
  }
}

type OpenCheck = () => boolean;

const cutError = { kind: 'unreachable', detail: 'The link to the platform is cut.' } as const;

/** A log service behind a link that can be cut. */
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
    return this.isOpen() ? this.inner.append(stream, values, signal) : Err(cutError);
  }

  /** A read that waited while the link was cut brings nothing. */
  async read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LogPage, LogServiceError>> {
    if (!this.isOpen()) {
      return Err(cutError);
    }
    const page = await this.inner.read(stream, fromOffset, waitMs, signal);
    return this.isOpen() ? page : Err(cutError);
  }

  close(): Promise<void> {
    return this.inner.close();
  }
}

/** A VM list behind a link that can be cut. */
export class CuttableVmList implements VmList {
  private constructor(
    private readonly inner: VmList,
    private readonly isOpen: OpenCheck,
  ) {}

  static create(inner: VmList, isOpen: OpenCheck): CuttableVmList {
    return new CuttableVmList(inner, isOpen);
  }

  async list(signal: AbortSignal): Promise<Result<readonly VmRecord[], VmListError>> {
    return this.isOpen() ? this.inner.list(signal) : Err(cutError);
  }

  close(): Promise<void> {
    return this.inner.close();
  }
}
