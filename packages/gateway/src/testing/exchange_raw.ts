import {connect} from 'node:net';
import {ConnectionEnd} from '@bayspool/kernel';

interface RawExchange {
  /** All bytes of the response, with its headers. */
  readonly text: string;
  /** Whether the response is complete by HTTP (RFC 9112, 6.3). */
  readonly isComplete: boolean;
}

interface Options {
  readonly port: number;
  /** The request as sent, with an empty body. */
  readonly request: string;
  /** The response is read once this resolves; at once if absent. */
  readonly readAfter?: Promise<unknown>;
}

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Sends a request on a connection of its own, and reads the response to its end. */
export function exchangeRaw({
  port,
  request,
  readAfter,
}: Options): Promise<RawExchange> {
  return new Promise(resolve => {
    const host = '127.0.0.1';
    const socket = connect({host, port});
    let text = '';
    const end = new ConnectionEnd(socket);
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    // How the connection ended is known by `end`.
    socket.on('error', () => undefined);
    socket.on('end', () => socket.destroy());
    socket.on('close', () =>
      resolve({text, isComplete: isComplete(text, end)}),
    );
    if (readAfter) {
      socket.pause();
      void readAfter.then(() => socket.resume());
    }
    socket.write(request.replace(HEAD_END, `\r\nconnection: close${HEAD_END}`));
  });
}

function isComplete(text: string, end: ConnectionEnd): boolean {
  const bodyAt = text.indexOf(HEAD_END) + HEAD_END.length;
  if (bodyAt < HEAD_END.length) return false;
  const head = text.slice(0, bodyAt);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  if (length !== undefined) return text.length - bodyAt === Number(length);
  if (/^transfer-encoding: chunked/im.test(head))
    return text.endsWith(LAST_CHUNK);
  return end.wasOrderly;
}
