/** Identifies this process among the hosts of the fleet. */
export interface HostIdentity {
  readonly id: string;
  readonly place: string;
  /** Random id of this process; its successor on the same host has another one. */
  readonly boot: string;
  /** Increases from one process of a host to the next. */
  readonly incarnation: number;
  /** Address at which peers reach it, such as `10.0.0.7:7100`. */
  readonly peerAddress: string;
  /** Address on which its peer server listens. */
  readonly peerListen: string;
}
