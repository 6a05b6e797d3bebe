/** Why an entry of the store is not used. */
const InvalidEntryKind = {
  /** Its bytes are no JSON. */
  INVALID_JSON: 'unreadable',
  /** A field is missing, of another type, or out of its range. */
  SCHEMA_MISMATCH: 'misshapen',
} as const;
type InvalidEntryKind =
  (typeof InvalidEntryKind)[keyof typeof InvalidEntryKind];

export {InvalidEntryKind};
