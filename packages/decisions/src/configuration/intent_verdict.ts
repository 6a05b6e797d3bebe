/** The result of an intent, determined when the hosts fold its record. */
export interface IntentVerdict {
  readonly intentId: string;
  readonly accepted: boolean;
  /** The record's offset in the log. */
  readonly offset: number;
  /** Id of the intent that changed one of the same objects first. */
  readonly lostTo?: string;
  /** Why it was rejected, worded for the operator. */
  readonly reason?: string;
  /** The kind and the subject of the intent, for lists. */
  readonly kind: string;
  readonly subject: string;
  /** Who submitted it: the name of the operator's key, or the host that decided it. */
  readonly by: string;
}
