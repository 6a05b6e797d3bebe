/** How grave a finding is. */
const FindingSeverity = {
  /** The gateway would refuse the configuration, or could not do what the entry says. */
  ERROR: 'error',
  /** The gateway works as written, but the entry has no effect or contradicts another one. */
  WARNING: 'warning',
} as const;
type FindingSeverity = (typeof FindingSeverity)[keyof typeof FindingSeverity];

export {FindingSeverity};
