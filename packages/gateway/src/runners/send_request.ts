import {request as startRequest} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import {AssignedSocketAgent} from './assigned_socket_agent.js';
import {ConnectFailure} from './connect_failure.js';
import {ExchangeFailure} from './exchange_failure.js';
import {InvalidResponse} from './invalid_response.js';
import type {PooledConnection} from './pooled_connection.js';
import type {RunnerRequest} from './runner_request.js';

interface Options {
  readonly connection: PooledConnection;
  readonly request: RunnerRequest;
  /** Closes the connection and rejects the promise. */
  readonly signal: AbortSignal;
}

/** Prefix of the error codes of Node's parser. */
const PARSER_ERROR = 'HPE_';
/** Code of the parser for a connection that closed before the end of a message. */
const CLOSED_EARLY = 'HPE_INVALID_EOF_STATE';

const agent = new AssignedSocketAgent();

/**
 * Sends a request on a connection; resolves when the response headers have arrived. Rejects with {@link ConnectFailure} if
 * the connection has closed, and nothing was sent.
 */
export function sendRequest(options: Options): Promise<IncomingMessage> {
  const {connection, request, signal} = options;
  // Node emits neither an error nor a close for a request on a socket that has closed.
  if (!connection.isOpen) return Promise.reject(new ConnectFailure('closed'));
  return new Promise((resolve, reject) => {
    const outgoing = startRequestOn(connection, request);
    let incoming: IncomingMessage | undefined;
    const abort = () => outgoing.destroy();
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort, {once: true});
    // The parser's listener has been added by then; one that is added earlier would lose its bytes.
    outgoing.once('socket', () => connection.noteSent());
    outgoing.on('information', () => connection.noteInterim());
    outgoing.once('response', response => {
      incoming = response;
      response.once('close', () => signal.removeEventListener('abort', abort));
      resolve(response);
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      signal.removeEventListener('abort', abort);
      const reason = error.code ?? error.message;
      const isResponseComplete = incoming?.complete === true;
      if (!isInvalid(reason)) connection.discard();
      else if (isResponseComplete) connection.discardExcess();
      else connection.discardInvalid(reason);
      reject(toFailure(connection, reason));
    });
    outgoing.once('close', () => {
      // Without this, a connection that closes without an error would leave the call waiting forever.
      reject(toFailure(connection, 'closed'));
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
  const outgoing = startRequest(options);
  // Header lines are bounded by their size; Node would leave out those beyond a number.
  outgoing.maxHeadersCount = 0;
  return outgoing;
}

function isInvalid(code: string): boolean {
  return code.startsWith(PARSER_ERROR) && code !== CLOSED_EARLY;
}

function toFailure({invalidReason}: PooledConnection, reason: string): Error {
  if (invalidReason !== undefined) return new InvalidResponse(invalidReason);
  return new ExchangeFailure(reason);
}
