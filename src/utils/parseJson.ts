/**
 * Parses JSON from outside the process without throwing.
 *
 * @param text - the text, or its bytes in UTF-8
 * @returns the value, or `undefined` if the text is not JSON; schemas of messages reject `undefined`
 */
export const parseJson = (text: string | Buffer): unknown => {
  try {
    return JSON.parse(text.toString());
  } catch {
    return undefined;
  }
};
