import {Agent} from 'node:http';
import type {Clock} from '@bayspool/kernel';
import {JSONRPCClient} from 'json-rpc-2.0';
import {fetchResponse} from '../http/fetch_response.js';
import type {RoomObservation} from '../runners/room_observation.js';
import type {SyncResponse} from './sync_response.js';
import type {SyncRequest} from './sync_request.js';

interface Options {
  readonly clock: Clock;
}

/** Time allowed for a response in addition to the long poll, in ms. */
const RESPONSE_TIMEOUT_MS = 450;

/** Calls other hosts over keep-alive connections. */
export class PeerClient {
  private readonly agent = new Agent({keepAlive: true, maxFreeSockets: 2});

  constructor(private readonly options: Options) {}

  /**
   * Sends a sync request to the host at an address; rejects if no response arrives within the long poll plus
   * `timeoutMs`.
   */
  async sync(
    address: string,
    request: SyncRequest,
    timeoutMs = RESPONSE_TIMEOUT_MS,
  ): Promise<SyncResponse> {
    const rpc = this.createRpc(address, request.waitMs + timeoutMs);
    return (await rpc.request('sync', request)) as SyncResponse;
  }

  /** Sends rooms of brittle runners to the host at an address; rejects if it does not take them. */
  async sendRooms(
    address: string,
    observations: readonly RoomObservation[],
  ): Promise<void> {
    const rpc = this.createRpc(address, RESPONSE_TIMEOUT_MS);
    await rpc.request('rooms', observations);
  }

  private createRpc(address: string, timeoutMs: number): JSONRPCClient {
    const {clock} = this.options;
    const rpc: JSONRPCClient = new JSONRPCClient(async payload => {
      const {body} = await fetchResponse({
        clock,
        agent: this.agent,
        address,
        method: 'POST',
        path: '/',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(payload),
        timeoutMs,
      });
      rpc.receive(JSON.parse(body.toString()));
    });
    return rpc;
  }

  /** Closes all connections to other hosts. */
  stop(): void {
    this.agent.destroy();
  }
}
