/** A suspect part: its position in its prompts, and the starts of the runners that crashed. */
interface PartCrashes {
  readonly depth: number;
  readonly starts: readonly number[];
  /** Whether the part is quarantined at the host that tells of it; absent if not. */
  readonly isQuarantined?: boolean;
}

/** Gossip between hosts about prompt parts whose responses had begun when runners crashed. */
export interface PartQuarantineDigest {
  /** Suspect parts by their fingerprint. */
  readonly suspects: Readonly<Record<string, PartCrashes>>;
  /** Fingerprints of suspect parts on which a whole response was written since. */
  readonly answered: readonly string[];
}
