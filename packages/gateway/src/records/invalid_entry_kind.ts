/** Why a store entry cannot be decoded. */
const InvalidEntryKind = {
  /** The value is not valid JSON. */
  INVALID_JSON: 'unreadable',
  /** A field is missing, has the wrong type or is out of range. */
  SCHEMA_MISMATCH: 'misshapen',
} as const;
type InvalidEntryKind =
  (typeof InvalidEntryKind)[keyof typeof InvalidEntryKind];

export {InvalidEntryKind};
