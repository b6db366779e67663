/**
 * Parses JSON that comes from outside.
 *
 * @param text - the text, or its bytes in UTF-8
 * @returns nothing for what is no JSON, which every schema refuses
 */
export const parseJson = (text: string | Buffer): unknown => {
  try {
    return JSON.parse(text.toString());
  } catch {
    return undefined;
  }
};
