/**
 * SIGHUP, by which a supervisor says that the settings file has changed. The signal ends a process that
 * does not handle it, so this module is loaded before all others.
 */
const signalName = 'SIGHUP';

export class ReloadSignal {
  private listener: (() => void) | undefined;
  private isPending = false;

  private constructor() {
    process.on(signalName, () => this.receive());
  }

  /** Handles the signal from now on, until the process ends. */
  static create(): ReloadSignal {
    return new ReloadSignal();
  }

  /**
   * Sets the function that is called at each signal, and calls it for signals that came before.
   *
   * @param listener - replaces the one before
   */
  listen(listener: () => void): void {
    this.listener = listener;
    if (this.isPending) {
      this.isPending = false;
      listener();
    }
  }

  /** Ignores the signal from now on. */
  ignore(): void {
    this.listener = () => undefined;
  }

  private receive(): void {
    if (this.listener === undefined) {
      this.isPending = true;
      return;
    }
    this.listener();
  }
}
