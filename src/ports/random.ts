/** Port to random numbers. */
export interface Random {
  /** @returns a number from 0 up to, but without, 1 */
  next(): number;
  /** @returns a new identifier of 16 characters that no other process produces */
  id(): string;
}
