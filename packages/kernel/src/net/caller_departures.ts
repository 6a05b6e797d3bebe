import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** A response that is not complete, and what to call when its caller leaves. */
interface OpenResponse {
  readonly response: ServerResponse;
  readonly onLeft: () => void;
}

/**
 * Tells when callers leave before their responses are complete: as soon as the end of their connection is read, whether
 * they closed, half-closed or reset it. A caller that can't send any more counts as gone.
 */
export class CallerDepartures {
  private readonly openBySocket = new Map<Socket, Set<OpenResponse>>();

  /** Calls `onLeft` once if the caller of a request leaves before the response is complete. */
  watch(
    {socket}: IncomingMessage,
    response: ServerResponse,
    onLeft: () => void,
  ): void {
    const open = {response, onLeft};
    const openResponses = this.openOn(socket);
    openResponses.add(open);
    response.once('close', () => {
      if (openResponses.delete(open) && !response.writableFinished) onLeft();
    });
  }

  private openOn(socket: Socket): Set<OpenResponse> {
    const known = this.openBySocket.get(socket);
    if (known) return known;
    const openResponses = new Set<OpenResponse>();
    this.openBySocket.set(socket, openResponses);
    socket.once('end', () => reportLeft(openResponses));
    socket.once('close', () => {
      this.openBySocket.delete(socket);
      closeQueued(openResponses);
    });
    return openResponses;
  }
}

function reportLeft(openResponses: ReadonlySet<OpenResponse>): void {
  for (const {response, onLeft} of openResponses)
    if (!response.writableFinished) onLeft();
}

/** Closes responses that wait for an earlier one on their connection: Node does not tell them that it has closed. */
function closeQueued(openResponses: ReadonlySet<OpenResponse>): void {
  for (const {response} of [...openResponses]) {
    if (response.socket) continue;
    response.destroy();
    response.emit('close');
  }
}
