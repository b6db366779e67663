/**
 * Path of the peers' interface; contains the protocol version.
 */
import { peerProtocolVersion } from '../../ports/peers.js';

export const peerRpcPath = `/peer/v${peerProtocolVersion}`;
