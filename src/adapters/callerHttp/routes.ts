/**
 * Routes of the callers' HTTP interface.
 */

/** A resource and method of the callers' interface, with the parameters of the request. */
export type CallerRoute =
  | { readonly kind: 'submit' }
  | { readonly kind: 'status'; readonly key: string; readonly waitMs: number }
  | { readonly kind: 'cancel'; readonly key: string }
  | { readonly kind: 'lookup' }
  | { readonly kind: 'owner' }
  | { readonly kind: 'none' };

const jobPath = /^\/v1\/jobs\/([^/]{1,400})$/;

/**
 * Matches a request to a route.
 *
 * @param method - the HTTP method
 * @param url - path and query string
 * @returns the route; `none` where no resource has this method and path
 */
export const matchRoute = (method: string, url: string): CallerRoute => {
  const [path = '', query = ''] = url.split('?', 2);
  if (method === 'POST' && path === '/v1/jobs') {
    return { kind: 'submit' };
  }
  if (method === 'POST' && path === '/v1/lookups') {
    return { kind: 'lookup' };
  }
  if (method === 'GET' && path === '/v1/owner') {
    return { kind: 'owner' };
  }
  const key = decodeKey(jobPath.exec(path)?.[1]);
  if (key === undefined) {
    return { kind: 'none' };
  }
  if (method === 'GET') {
    return { kind: 'status', key, waitMs: readWaitMs(query) };
  }
  return method === 'DELETE' ? { kind: 'cancel', key } : { kind: 'none' };
};

/** @returns the decoded key, or undefined for a malformed percent-encoding */
const decodeKey = (encoded: string | undefined): string | undefined => {
  if (encoded === undefined) {
    return undefined;
  }
  try {
    return decodeURIComponent(encoded);
  } catch {
    return undefined;
  }
};

/** Reads the wait in milliseconds; 0 where it is absent or not valid. */
const readWaitMs = (query: string): number => {
  const waitMs = Number(new URLSearchParams(query).get('waitMs') ?? 0);
  return Number.isFinite(waitMs) && waitMs > 0 ? waitMs : 0;
};
