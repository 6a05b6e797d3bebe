import {Agent} from 'node:http';
import type {ClientRequest, RequestOptions} from 'node:http';
import type {Socket} from 'node:net';

interface AssignedSocketOptions extends RequestOptions {
  readonly assignedSocket: Socket;
}

/** HTTP agent that sends each request on the socket in its options; ConnectionPool does the pooling. */
export class AssignedSocketAgent extends Agent {
  constructor() {
    super({keepAlive: true});
  }

  /** Assigns the socket to a request; Node calls this for each request. */
  addRequest(request: ClientRequest, options: AssignedSocketOptions): void {
    request.onSocket(options.assignedSocket);
  }
}
