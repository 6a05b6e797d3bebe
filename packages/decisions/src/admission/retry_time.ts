/** When a rejected caller is to retry, and the figures behind it. */
export interface RetryTime {
  /** Time until the retry, in ms. */
  readonly afterMs: number;
  /** Whether capacity was reserved; false if none is left within the horizon. */
  readonly isReserved: boolean;
  /** Time until the first interval with reserved capacity, in ms; the horizon if none was reserved. */
  readonly intervalMs: number;
  /** Work for which this host has reserved capacity, that of this call included, in ms of slot time. */
  readonly promisedMs: number;
  /** Spare capacity of the service that the forecast expects, in ms of slot time per ms. */
  readonly sparePerMs: number;
}
