import type {CallRoute, Prompt} from '@bayspool/decisions/calls';

/** A request that was read whole, found its route and may run. */
export interface IncomingCall {
  readonly id: string;
  readonly method: string;
  /** The request target, unchanged. */
  readonly path: string;
  /** Names and values by turns, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly route: CallRoute;
  readonly service: string;
  /** Names what is asked and by whom: the same for each repeat, see `fingerprintOf`. */
  readonly fingerprint: string;
  readonly workspace?: string;
  /** Regions in which its data may be, by its route and its workspace; undefined if any will do. */
  readonly regions?: readonly string[];
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Times on this host's clock. */
  readonly acceptedAt: number;
  readonly deadlineAt: number;
  readonly prompt?: Prompt;
  readonly session?: string;
  /** The model that the caller named, where the route leaves none open. */
  readonly model?: string;
}
