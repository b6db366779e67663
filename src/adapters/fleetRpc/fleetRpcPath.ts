/**
 * Paths of the interface between the daemons of a fleet; each contains the protocol version.
 */
/** WebSocket connections, over which the daemons call each other. */
export const fleetSocketPath = '/fleet/v2';

/** HTTP requests of daemons that do not support WebSocket connections yet. */
export const fleetHttpPath = '/fleet/v1';
