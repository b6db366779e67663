/**
 * Records the time intervals in which faults excuse a daemon from answering its callers.
 */

/** An interval in which a daemon was stopped, starting, paused or unreachable for its callers. */
interface Disruption {
  readonly daemon: number;
  readonly fromMs: number;
  /** Infinite while it lasts. */
  untilMs: number;
}

/** Time after a disruption until the daemon serves as before, in milliseconds. */
const afterEffectMs = 3_000;

export class DisruptionLog {
  private readonly disruptions: Disruption[] = [];

  private constructor() {
    // Built by create.
  }

  static create(): DisruptionLog {
    return new DisruptionLog();
  }

  /**
   * Records the start of a disruption.
   *
   * @returns a function that ends it
   */
  begin(daemon: number): () => void {
    const disruption: Disruption = { daemon, fromMs: performance.now(), untilMs: Infinity };
    this.disruptions.push(disruption);
    return () => {
      disruption.untilMs = performance.now() + afterEffectMs;
    };
  }

  /** @returns whether no disruption of a daemon overlaps an interval */
  wasUndisrupted(daemon: number, fromMs: number, untilMs: number): boolean {
    return !this.disruptions.some(
      (disruption) =>
        disruption.daemon === daemon &&
        disruption.fromMs <= untilMs &&
        disruption.untilMs >= fromMs,
    );
  }
}
