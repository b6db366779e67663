/** Port to random numbers. */
export interface Random {
  /** @returns a number of at least 0 and less than 1 */
  next(): number;
  /** @returns a new identifier of 16 characters that no other process produces */
  id(): string;
}
