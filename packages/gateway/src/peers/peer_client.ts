import {Agent, request as startRequest} from 'node:http';
import type {Clock} from '@bayspool/kernel';
import {JSONRPCClient} from 'json-rpc-2.0';
import type {HostEntry} from './host_entry.js';
import type {SyncAnswer} from './sync_answer.js';
import type {SyncRequest} from './sync_request.js';

interface Options {
  readonly clock: Clock;
}

/** Time for an answer over the time that the other host may wait, in ms. */
const ANSWER_MS = 450;

/** Calls other hosts over kept connections. */
export class PeerClient {
  private readonly agent = new Agent({keepAlive: true, maxFreeSockets: 2});

  constructor(private readonly options: Options) {}

  /** Asks a host for news; rejects when it does not answer in time. */
  async sync(peer: HostEntry, request: SyncRequest): Promise<SyncAnswer> {
    const timeoutMs = request.waitMs + ANSWER_MS;
    const rpc: JSONRPCClient = new JSONRPCClient(async payload => {
      const body = await this.post(
        peer.address,
        JSON.stringify(payload),
        timeoutMs,
      );
      rpc.receive(JSON.parse(body));
    });
    return (await rpc.request('sync', request)) as SyncAnswer;
  }

  /** Closes all connections to other hosts. */
  stop(): void {
    this.agent.destroy();
  }

  private post(
    address: string,
    body: string,
    timeoutMs: number,
  ): Promise<string> {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      const headers = {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      };
      const {agent} = this;
      const call = startRequest({
        agent,
        host,
        port,
        method: 'POST',
        path: '/',
        headers,
      });
      const timer = this.options.clock.after(timeoutMs, () =>
        call.destroy(new Error(`no answer within ${timeoutMs} ms`)),
      );
      const fail = (error: Error) => {
        timer.cancel();
        reject(error);
      };
      call.once('error', fail);
      call.once('response', answer => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.once('error', fail);
        answer.once('end', () => {
          timer.cancel();
          resolve(Buffer.concat(chunks).toString());
        });
      });
      call.end(body);
    });
  }
}
