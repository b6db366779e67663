/**
 * Chooses a part of many items: as many as fit, each part in turn.
 *
 * @param items - all items, in an order that changes little
 * @param maxItems - the most that are chosen
 * @param turn - number of the turn
 */
export const takeTurn = <T>(items: readonly T[], maxItems: number, turn: number): readonly T[] => {
  const turns = Math.max(Math.ceil(items.length / maxItems), 1);
  const first = (turn % turns) * maxItems;
  return items.slice(first, first + maxItems);
};
