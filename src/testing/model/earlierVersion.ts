/**
 * Messages as the version before waiting work, domain rooms and awaited workers sends and understands them.
 */
import type { FleetService } from '../../ports/fleetPeers.js';
import type { BatchReply } from '../../types/dispatch.js';
import type { FleetHeartbeat } from '../../types/fleet.js';
import type { ModelServer } from './modelConnector.js';

/** A server behind which either side of the connection is of the earlier version. */
export const toEarlierVersion = ({ process, service }: ModelServer): ModelServer => ({
  process,
  service: toEarlierService(service),
});

const toEarlierService = (service: FleetService): FleetService => ({
  beat: (received) => stripHeartbeat(service.beat(stripHeartbeat(received))),
  runBatch: async (request) => stripReply(await service.runBatch(request)),
  withdrawBatch: (withdrawal) => service.withdrawBatch(withdrawal),
  cancelJob: (cancellation) => service.cancelJob(cancellation),
  awaitJob: (question) => service.awaitJob(question),
  fetchRouting: () => service.fetchRouting(),
});

const stripHeartbeat = ({
  domainRooms: _rooms,
  awaitedWorkerIds: _awaited,
  load,
  ...rest
}: FleetHeartbeat): FleetHeartbeat => ({
  ...rest,
  load: { workers: load.workers },
});

const stripReply = ({ load, ...rest }: BatchReply): BatchReply => ({
  ...rest,
  load: { workers: load.workers },
});
