/**
 * Formats rows as a text table with aligned columns.
 *
 * @param header - names of the columns
 * @param rows - the cells of each row
 * @returns the lines, each with a line break
 */
export const formatTable = (
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const lines = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...lines.map((cells) => cells[column]?.length ?? 0)),
  );
  return lines
    .map((cells) => cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '))
    .map((line) => `${line.trimEnd()}\n`)
    .join('');
};
