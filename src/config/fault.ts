/** One fault in a settings or configuration file. */
export interface Fault {
  /** Keys and indexes from the root to the fault. */
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly hint?: string;
}
