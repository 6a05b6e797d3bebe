/** What became of an intent when the hosts folded it. */
export interface IntentVerdict {
  readonly intentId: string;
  readonly accepted: boolean;
  /** The record's offset in the log. */
  readonly offset: number;
  /** The intent that changed the same objects first. */
  readonly lostTo?: string;
  /** Why it was rejected, in words for the operator. */
  readonly reason?: string;
  /** The intent itself, for listing. */
  readonly kind: string;
  readonly subject: string;
  /** Who filed it: the name of the operator's key, or the host that decided it. */
  readonly by: string;
}
