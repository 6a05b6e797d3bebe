/** Why a request is held back no longer; the texts stand in logs. */
const QuarantineEnd = {
  ANSWERED: 'answered well',
  EXPIRED: 'time is over',
  REMOVED: 'removed from the store',
  CROWDED: 'too many are held back',
} as const;
type QuarantineEnd = (typeof QuarantineEnd)[keyof typeof QuarantineEnd];

export {QuarantineEnd};
