/**
 * Reads bearer tokens; other code only handles their digests.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

/**
 * Computes the digest of a token, as the inventory stores it.
 *
 * @param token - the token in plain text
 * @returns SHA-256 in lower-case hexadecimal
 */
export const digestToken = (token: string): string =>
  createHash('sha256').update(token).digest('hex');

/**
 * Reads the digest of a request's bearer token.
 *
 * @param request - the request
 * @returns the digest, or undefined without a well-formed bearer token
 */
export const readTokenDigest = (request: IncomingMessage): string | undefined => {
  const match = /^Bearer ([\x21-\x7e]{1,256})$/i.exec(request.headers.authorization ?? '');
  return match?.[1] === undefined ? undefined : digestToken(match[1]);
};

/**
 * Compares digests in constant time.
 *
 * @param digest - digest of the token in the request; undefined matches nothing
 * @param expected - digest of the valid token
 */
export const isSameDigest = (digest: string | undefined, expected: string): boolean =>
  digest?.length === expected.length && timingSafeEqual(Buffer.from(digest), Buffer.from(expected));
