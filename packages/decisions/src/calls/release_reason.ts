/** Why a request is held back no longer; the texts stand in logs. */
const ReleaseReason = {
  ANSWERED: 'answered well',
  EXPIRED: 'time is over',
  REMOVED: 'removed from the store',
  OVER_CAPACITY: 'too many are held back',
} as const;
type ReleaseReason = (typeof ReleaseReason)[keyof typeof ReleaseReason];

export {ReleaseReason};
