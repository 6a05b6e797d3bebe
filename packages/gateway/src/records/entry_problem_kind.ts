/** Why an entry of the store is not used. */
const EntryProblemKind = {
  /** Its bytes are no JSON. */
  UNREADABLE: 'unreadable',
  /** A field is missing, of another type, or out of its range. */
  MISSHAPEN: 'misshapen',
} as const;
type EntryProblemKind =
  (typeof EntryProblemKind)[keyof typeof EntryProblemKind];

export {EntryProblemKind};
