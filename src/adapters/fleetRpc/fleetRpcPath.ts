/**
 * Path of the interface between the daemons of a fleet; it carries the version of the messages.
 */
export const fleetRpcPath = '/fleet/v1';
