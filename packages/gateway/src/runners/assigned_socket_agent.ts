import {Agent} from 'node:http';
import type {ClientRequest, RequestOptions} from 'node:http';
import type {Socket} from 'node:net';

interface AssignedSocketOptions extends RequestOptions {
  readonly assignedSocket: Socket;
}

/** Lets a request run on a socket that its sender chose; the pools are ours, not the agent's. */
export class AssignedSocketAgent extends Agent {
  constructor() {
    super({keepAlive: true});
  }

  /** Called by Node for each request. */
  addRequest(request: ClientRequest, options: AssignedSocketOptions): void {
    request.onSocket(options.assignedSocket);
  }
}
