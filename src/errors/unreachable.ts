/**
 * Marks the branch of an exhaustive switch that no value reaches.
 *
 * @param value - the value that the compiler has narrowed to `never`
 * @returns never; throws when an unchecked value gets here
 */
export const unreachable = (value: never): never => {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}.`);
};
