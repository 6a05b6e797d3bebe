import type {Sealer} from '@bayspool/decisions';
import {Problem, ProblemKind, type Metrics} from '@bayspool/kernel';
import {JSONRPCClient} from 'json-rpc-2.0';
import type {Counter} from 'prom-client';
import {PeerPool} from './peer_pool.js';
import type {PeerTransport} from './peer_transport.js';

interface Options {
  readonly sealer: Sealer;
  readonly metrics: Metrics;
  readonly timeoutMs: number;
  readonly transport: PeerTransport;
}

interface CallTarget {
  /** Such as `10.0.0.7:7100`. */
  readonly address: string;
  readonly timeoutMs: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly pool: PeerPool;
}

/** Options of one call. */
interface CallOptions {
  /** The client's timeout when absent. */
  readonly timeoutMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** The connection pool, by what the call waits for at the other host; `DIRECT` when absent. */
  readonly pool?: PeerPool;
}

/** Calls JSON-RPC methods of other hosts; requests and replies are signed. */
export class PeerClient {
  private readonly rpc: JSONRPCClient<CallTarget>;
  private readonly bytesTotal: Counter<'direction'>;

  constructor(private readonly options: Options) {
    this.bytesTotal = options.metrics.counter(
      'peer_client_bytes_total',
      'Bytes of bodies to and from peers that this host called.',
      ['direction'],
    );
    this.rpc = new JSONRPCClient<CallTarget>((payload, target) =>
      this.send(JSON.stringify(payload), target),
    );
  }

  /** Calls a method. After a rejection the method may still have been executed. */
  async call(
    address: string,
    method: string,
    params: object,
    options: CallOptions = {},
  ): Promise<unknown> {
    const target = {
      address,
      timeoutMs: options.timeoutMs ?? this.options.timeoutMs,
      headers: options.headers ?? {},
      pool: options.pool ?? PeerPool.DIRECT,
    };
    try {
      return await this.rpc.request(method, params, target);
    } catch (error) {
      throw new Problem({
        kind: ProblemKind.PEER_UNREACHABLE,
        what: `peer ${address} did not answer ${method}: ${error instanceof Error ? error.message : error}`,
        remedy:
          'check that the host runs and that the cluster key is the same on both',
        cause: error,
      });
    }
  }

  private async send(body: string, target: CallTarget): Promise<void> {
    const {sealer, transport} = this.options;
    const {address, headers, timeoutMs, pool} = target;
    const reply = await transport.send(
      address,
      {body, signature: sealer.sign(body)},
      {headers, timeoutMs, pool},
    );
    if (!sealer.verify(reply.body, reply.signature))
      throw new Error('the reply is not signed by a peer');
    this.bytesTotal.inc({direction: 'out'}, body.length);
    this.bytesTotal.inc({direction: 'in'}, reply.body.length);
    this.rpc.receive(JSON.parse(reply.body));
  }
}
