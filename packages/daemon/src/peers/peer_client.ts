import type {Sealer} from '@bayspool/decisions';
import {Problem, ProblemKind, type Metrics} from '@bayspool/kernel';
import {JSONRPCClient} from 'json-rpc-2.0';
import type {Counter} from 'prom-client';
import {PeerPool} from './peer_pool.js';
import type {PeerTransport} from './peer_transport.js';

interface Options {
  readonly seal: Sealer;
  readonly metrics: Metrics;
  readonly timeoutMs: number;
  readonly transport: PeerTransport;
}

interface CallTarget {
  /** As `10.0.0.7:7100`. */
  readonly address: string;
  readonly timeoutMs: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly pool: PeerPool;
}

/** How a call is made. */
interface CallOptions {
  /** As the settings say if left out. */
  readonly timeoutMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** What the call waits for at the other host; nothing if left out. */
  readonly pool?: PeerPool;
}

/** Calls methods of other hosts by JSON-RPC; both directions are authenticated. */
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

  /** Calls a method; a rejection does not mean that it was not carried out. */
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
    const {seal, transport} = this.options;
    const {address, headers, timeoutMs, pool} = target;
    const reply = await transport.send(
      address,
      {body, signature: seal.sign(body)},
      {headers, timeoutMs, pool},
    );
    if (!seal.verify(reply.body, reply.signature))
      throw new Error('the reply is not signed by a peer');
    this.bytesTotal.inc({direction: 'out'}, body.length);
    this.bytesTotal.inc({direction: 'in'}, reply.body.length);
    this.rpc.receive(JSON.parse(reply.body));
  }
}
