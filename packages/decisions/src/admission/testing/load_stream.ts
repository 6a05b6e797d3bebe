/** Calls of one kind that arrive at random times, at any host. */
export interface LoadStream {
  readonly name: string;
  readonly perSecond: number;
  readonly priority: number;
  readonly workspace?: string;
  readonly workMs: number;
  readonly targetMs: number;
  readonly limitMs: number;
}
