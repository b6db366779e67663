/**
 * Routing configurations that stand-ins publish in the store.
 */
/** Host name of all routes. */
export const fixtureHost = 'jobs.example';
/** Prefix of the first route. */
export const fixturePrefix = '/fit/';
/** Service that all routes lead to. */
export const fixtureService = 'fit';
/** Runs of a task that may fail until the task is given up. */
export const maxTaskAttempts = 3;

/** @returns the path prefix of the route at a position, from 0 */
export const routePrefix = (index: number): string =>
  index === 0 ? fixturePrefix : `/route-${index}/`;

/**
 * Composes a routing configuration in the platform's format.
 *
 * @param version - has to be higher than that of the configuration before
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
    maxAttempts: maxTaskAttempts,
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
