/**
 * When each daemon could not be expected to answer its callers.
 */

/** A time in which a daemon was stopped, started, or cut off from its callers. */
interface Trouble {
  readonly daemon: number;
  readonly fromMs: number;
  /** Infinite while it lasts. */
  untilMs: number;
}

/** Time after a trouble until the daemon serves as before, in milliseconds. */
const afterEffectMs = 3_000;

export class Troubles {
  private readonly troubles: Trouble[] = [];

  private constructor() {
    // Built by create.
  }

  static create(): Troubles {
    return new Troubles();
  }

  /**
   * Notes that a trouble begins.
   *
   * @returns ends it
   */
  begin(daemon: number): () => void {
    const trouble: Trouble = { daemon, fromMs: performance.now(), untilMs: Infinity };
    this.troubles.push(trouble);
    return () => {
      trouble.untilMs = performance.now() + afterEffectMs;
    };
  }

  /** Tells whether a daemon had no trouble in a time. */
  wasCalm(daemon: number, fromMs: number, untilMs: number): boolean {
    return !this.troubles.some(
      (trouble) =>
        trouble.daemon === daemon && trouble.fromMs <= untilMs && trouble.untilMs >= fromMs,
    );
  }
}
