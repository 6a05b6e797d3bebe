/** Why a call goes to the old or the new version of a service, during a rollout or without one. */
const VersionReason = {
  NO_ROLLOUT: 'no roll-out',
  RESPONSE_STARTED: 'answer begun by this version',
  RESPONSE_VERSION_UNREACHABLE: 'version of the answer is out of reach',
  RESPONSE_VERSION_FAILED: 'version of the answer has failed it',
  ROLLED_BACK: 'new version taken back',
  ALL_CALLS: 'all calls',
  FAILED_ON_NEW: 'failed on the new version',
  SESSION_ON_NEW: 'session runs on the new version',
  HOST_DISCONNECTED: 'host out of touch',
  IN_SHARE: 'in the share',
  OVER_EXPOSURE_LIMIT: 'in the share, but over what is allowed by now',
  NO_ANSWER_YET:
    'in the share, but the new version has only failed and retries are short',
  OUTSIDE_SHARE: 'outside the share',
} as const;
type VersionReason = (typeof VersionReason)[keyof typeof VersionReason];

export {VersionReason};
