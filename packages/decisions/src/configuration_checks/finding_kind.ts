/** What the checks of a configuration can find. */
const FindingKind = {
  /** The file holds no valid text, or a field is missing or has a wrong type. */
  MALFORMED: 'malformed',
  DUPLICATE_NAME: 'duplicate-name',
  UNKNOWN_SERVICE: 'unknown-service',
  INVALID_WEIGHT: 'invalid-weight',
  UNREACHABLE_ROUTE: 'unreachable-route',
  UNUSED_SERVICE: 'unused-service',
  WORKSPACE_WITHOUT_KEYS: 'workspace-without-keys',
  SHARED_KEY: 'shared-key',
  LATENCY_TARGET_OVER_TIME_LIMIT: 'latency-target-over-time-limit',
  PAUSE_TARGET_OVER_TIME_LIMIT: 'pause-target-over-time-limit',
  NO_ATTEMPTS: 'no-attempts',
  ATTEMPTS_OF_AT_MOST_ONCE_CALL: 'attempts-of-at-most-once-call',
  HEADER_LIMIT_OVER_SERVER: 'header-limit-over-server',
  ENGINE_MEMORY_UNDER_PROMPT: 'engine-memory-under-prompt',
  VERSION_NOT_RAISED: 'version-not-raised',
} as const;
type FindingKind = (typeof FindingKind)[keyof typeof FindingKind];

export {FindingKind};
