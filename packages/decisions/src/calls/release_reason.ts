/** Why a request is released from quarantine; the values appear in logs. */
const ReleaseReason = {
  ANSWERED: 'answered well',
  EXPIRED: 'time is over',
  REMOVED: 'removed from the store',
  RETRACTED: 'runners are back',
  SHARED: 'another request was there',
  OVER_CAPACITY: 'too many are held back',
} as const;
type ReleaseReason = (typeof ReleaseReason)[keyof typeof ReleaseReason];

export {ReleaseReason};
