/** A host of the fleet as it entered itself in the store. */
export interface HostEntry {
  readonly name: string;
  readonly place: string;
  /** IP:PORT for calls between hosts. */
  readonly address: string;
  /** Processor and link in relation to other hosts. */
  readonly capacity: number;
}
