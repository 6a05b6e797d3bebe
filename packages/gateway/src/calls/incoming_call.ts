import type {RelayOrigin} from '../relay/relay_origin.js';
import type {CallHead} from './call_head.js';

/** A validated request with its complete body and its route. */
export interface IncomingCall extends CallHead {
  readonly method: string;
  /** The request target, unchanged. */
  readonly path: string;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly service: string;
  /**
   * Identifies the content of the request and its sender; the same each time it is sent, see
   * `fingerprintRequest`.
   */
  readonly fingerprint: string;
  readonly workspace?: string;
  /** Regions in which the data may be processed, by route and workspace; undefined if unrestricted. */
  readonly regions?: readonly string[];
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When the request was complete, on this host's clock. */
  readonly completedAt: number;
  readonly session?: string;
  /** Model named by the caller, if the route doesn't choose one itself. */
  readonly model?: string;
  /** What the relaying host states of the call; undefined if the caller sent it to this host. */
  readonly relayOrigin?: RelayOrigin;
}
