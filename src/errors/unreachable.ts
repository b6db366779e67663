/**
 * Marks the default branch of an exhaustive switch: the compiler reports an error if a case is missing.
 *
 * @param value - the switched value, which has type `never` there
 * @returns never; throws if a value of another type gets here at run time
 */
export const unreachable = (value: never): never => {
  throw new Error(`Unexpected value: ${JSON.stringify(value)}.`);
};
