/**
 * Path of the interface between the daemons of a fleet; contains the protocol version.
 */
export const fleetRpcPath = '/fleet/v1';
