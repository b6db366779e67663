/** Exit codes of the command-line tool. */
export const exitCodes = {
  done: 0,
  failed: 1,
  invalid: 2,
  conflict: 3,
  /** Published, but not yet in force on every daemon. */
  notEverywhere: 4,
} as const;
