/**
 * Checks the nesting depth of JSON text before it is parsed, by counting the brackets outside of
 * strings.
 *
 * @param text - JSON text
 * @param maxDepth - the deepest nesting that is accepted
 * @returns whether no array or object is nested deeper
 */
export const isNestingBounded = (text: string, maxDepth: number): boolean => {
  let depth = 0;
  let isInString = false;
  for (let i = 0; i < text.length; i += 1) {
    const char = text[i];
    if (isInString) {
      if (char === '\\') {
        i += 1;
      } else if (char === '"') {
        isInString = false;
      }
      continue;
    }
    if (char === '"') {
      isInString = true;
    } else if (char === '{' || char === '[') {
      depth += 1;
      if (depth > maxDepth) {
        return false;
      }
    } else if (char === '}' || char === ']') {
      depth -= 1;
    }
  }
  return true;
};
