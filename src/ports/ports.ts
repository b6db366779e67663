/** All outbound ports that a daemon needs. */
import type { Clock } from './clock.js';
import type { EndpointPort } from './endpoints.js';
import type { Logger } from './logger.js';
import type { LogService } from './logService.js';
import type { Metrics } from './metrics.js';
import type { PeerConnector } from './peers.js';
import type { ProcessLoad } from './processLoad.js';
import type { Random } from './random.js';
import type { VmList } from './vmList.js';

export interface Ports {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly endpoints: EndpointPort;
  readonly logService: LogService;
  readonly vmList: VmList;
  readonly peers: PeerConnector;
  readonly processLoad: ProcessLoad;
}
