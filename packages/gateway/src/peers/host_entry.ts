/** A host of the fleet, as it registers itself in the store. */
export interface HostEntry {
  readonly name: string;
  readonly place: string;
  /** IP:PORT for calls between hosts. */
  readonly address: string;
  /** IP:PORT for calls that other hosts relay to this one; absent if it takes none. */
  readonly relayAddress?: string;
  /** CPU and network capacity relative to other hosts. */
  readonly capacity: number;
}
