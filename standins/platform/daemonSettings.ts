/**
 * The settings of a daemon that runs as a child process, as the platform writes them.
 */
const callersPort = 8_080;
const readinessPort = 8_081;
const internalPorts = [7_000, 7_010];

/** Where a daemon runs and finds the store. */
export interface DaemonPlace {
  readonly vmId: string;
  /** Loopback address of the VM. */
  readonly ip: string;
  readonly zone: string;
  readonly zones: readonly string[];
  readonly storeAddress: string;
  readonly shardCount: number;
}

/** @returns IP address and port for the callers of a daemon */
export const callersAddressOf = ({ ip }: DaemonPlace): string => `${ip}:${callersPort}`;

/**
 * @param graceS - time between SIGTERM and SIGKILL, in seconds
 * @param cpuShare - share of a core that the daemon may use
 * @returns the content of the settings file
 */
export const composeSettings = (place: DaemonPlace, graceS: number, cpuShare: number): string =>
  JSON.stringify(describeSettings(place, graceS, cpuShare));

const describeSettings = (
  { vmId, ip, zone, zones, storeAddress, shardCount }: DaemonPlace,
  graceS: number,
  cpuShare: number,
) => ({
  nodeName: vmId,
  ip,
  zone,
  zones: Object.fromEntries(zones.map((name) => [name, 'region'])),
  listen: { front: `${ip}:${callersPort}`, ready: `${ip}:${readinessPort}` },
  internalPortRange: internalPorts,
  limits: { cpuShare, cores: 1 },
  bounds: { holdMaxMs: 1_000, farFactor: 1.5, graceS },
  platform: { address: storeAddress, parts: shardCount, ttlMinMs: 1_000 },
});
