/** An operator's order on whether the runners of a place get new calls. */
export interface CordonOrder {
  readonly place: string;
  /** Whether they get none; false after the order was withdrawn. */
  readonly isCordoned: boolean;
}
