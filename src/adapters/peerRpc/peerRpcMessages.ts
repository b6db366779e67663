/**
 * Path of the peers' interface; it carries the version of the messages.
 */
import { peerProtocolVersion } from '../../ports/peers.js';

export const peerRpcPath = `/peer/v${peerProtocolVersion}`;
