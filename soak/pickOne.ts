/**
 * A random choice of a soak.
 */

/** Picks an item of a list at random. */
export const pickOne = <T>(items: readonly T[], randomInt: (count: number) => number): T => {
  const item = items[randomInt(items.length)];
  if (item === undefined) {
    throw new Error('Cannot pick from an empty list.');
  }
  return item;
};
