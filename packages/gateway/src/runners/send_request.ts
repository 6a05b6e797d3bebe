import {request as startRequest} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import {AssignedSocketAgent} from './assigned_socket_agent.js';
import {ExchangeFailure} from './exchange_failure.js';
import type {PooledConnection} from './pooled_connection.js';
import type {RunnerRequest} from './runner_request.js';

interface Options {
  readonly connection: PooledConnection;
  readonly request: RunnerRequest;
  /** Closes the connection and rejects the promise. */
  readonly signal: AbortSignal;
}

const agent = new AssignedSocketAgent();

/** Sends a request on a connection; resolves when the response headers have arrived. */
export function sendRequest(options: Options): Promise<IncomingMessage> {
  const {connection, request, signal} = options;
  return new Promise((resolve, reject) => {
    const outgoing = startRequestOn(connection, request);
    const abort = () => outgoing.destroy();
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort, {once: true});
    outgoing.once('response', response => {
      response.once('close', () => signal.removeEventListener('abort', abort));
      resolve(response);
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      signal.removeEventListener('abort', abort);
      connection.discard();
      reject(new ExchangeFailure(error.code ?? error.message));
    });
    outgoing.once('close', () => {
      // Without this, a connection that closes without an error would leave the call waiting forever.
      reject(new ExchangeFailure('closed'));
    });
    outgoing.end(request.body);
  });
}

function startRequestOn(
  connection: PooledConnection,
  request: RunnerRequest,
): ClientRequest {
  const options = {
    agent,
    assignedSocket: connection.socket,
    method: request.method,
    path: request.path,
    headers: request.headers as string[],
    setHost: false,
    setDefaultHeaders: false,
  };
  return startRequest(options);
}
