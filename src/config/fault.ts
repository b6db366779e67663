/** A validation error in a settings or configuration file. */
export interface Fault {
  /** Keys and indexes from the root of the file to the invalid value. */
  readonly path: readonly PropertyKey[];
  readonly message: string;
  /** How to correct it. */
  readonly hint?: string;
}
