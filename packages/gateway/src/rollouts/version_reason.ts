/** Why a call gets the version that it gets while a service has a roll-out. */
const VersionReason = {
  NONE: 'no roll-out',
  BEGUN: 'answer begun by this version',
  OUT_OF_REACH: 'version of the answer is out of reach',
  TAKEN_BACK: 'new version taken back',
  WHOLE: 'all calls',
  FAILED_THERE: 'failed on the new version',
  SESSION_NEW: 'session runs on the new version',
  OUT_OF_TOUCH: 'host out of touch',
  IN_SHARE: 'in the share',
  NO_ROOM: 'in the share, but over what is allowed by now',
  OUTSIDE_SHARE: 'outside the share',
} as const;
type VersionReason = (typeof VersionReason)[keyof typeof VersionReason];

export {VersionReason};
