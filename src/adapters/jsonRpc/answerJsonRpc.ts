/**
 * Handles HTTP requests that carry a JSON-RPC call.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { JSONRPCServer } from 'json-rpc-2.0';
import { createProblem } from '../../errors/problem.js';
import { problemFromZod } from '../../errors/zodProblem.js';
import { maxPeerNesting } from '../../ports/peers.js';
import { readJsonBody } from '../http/readJsonBody.js';
import { sendJson, sendProblem } from '../http/sendJson.js';
import { callSchema } from './jsonRpcCall.js';

const maxBodyBytes = 4_194_304;

/**
 * Handles one request: runs the method and sends its JSON-RPC response with status 200. A wrong path,
 * an invalid body or an invalid call is answered with a problem.
 *
 * @param rpc - server with the registered methods
 * @param path - the only path that is served
 * @param request - the request
 * @param response - the response to write
 */
export const answerJsonRpc = async (
  rpc: JSONRPCServer,
  path: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  if (request.method !== 'POST' || request.url !== path) {
    const detail = `This daemon serves its peers at ${path} only.`;
    sendProblem(response, createProblem('not-found', detail));
    return;
  }
  const body = await readJsonBody(request, maxBodyBytes, maxPeerNesting);
  if (body.isErr()) {
    sendProblem(response, body.error);
    return;
  }
  const call = callSchema.safeParse(body.value);
  if (!call.success) {
    sendProblem(response, problemFromZod(call.error));
    return;
  }
  sendJson(response, 200, await rpc.receive(call.data));
};
