/**
 * Routing configurations of the stand-in.
 */
export const fixtureHost = 'jobs.example';
/** Prefix of the first route. */
export const fixturePrefix = '/fit/';
export const fixtureService = 'fit';

/** @returns path prefix of one of the routes */
export const routePrefix = (index: number): string =>
  index === 0 ? fixturePrefix : `/route-${index}/`;

/**
 * Composes a configuration as the platform spells it.
 *
 * @param version - rises with each
 * @param count - number of routes
 */
export const composeRoutes = (version: number, count: number): Buffer => {
  const routes = Array.from({ length: count }, (_, index) => ({
    name: `r-${index}`,
    host: fixtureHost,
    pathPrefix: routePrefix(index),
    kind: 'unsafe',
    timeoutMs: 1_500,
    targetLatencyMs: 60,
    service: fixtureService,
    maxAttempts: 3,
    stretch: 1.6,
  }));
  const document = {
    version,
    routes,
    services: [{ name: fixtureService, admissionCheck: true }],
    limits: { maxBodyBytes: 262_144 },
  };
  return Buffer.from(JSON.stringify(document));
};
