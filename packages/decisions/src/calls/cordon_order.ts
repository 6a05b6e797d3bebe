/** What operators ask of a place: whether its runners are to get no new calls. */
export interface CordonOrder {
  readonly place: string;
  /** False once the order was taken away. */
  readonly isCordoned: boolean;
}
