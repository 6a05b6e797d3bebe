/** A host or runner listed by the platform. */
export interface RosterEntry {
  readonly id: string;
  readonly leaving: boolean;
}
