/** The kinds of failure that bayspool tells apart; a closed, metric-safe set. */
const ProblemKind = {
  SETTINGS: 'settings',
  BAD_REQUEST: 'bad_request',
  TOO_LARGE: 'too_large',
  UNAUTHORIZED: 'unauthorized',
  NOT_ALLOWED: 'not_allowed',
  NOT_FOUND: 'not_found',
  CONFLICT: 'conflict',
  KEY_REUSED: 'key_reused',
  SESSION_ENDED: 'session_ended',
  LIMITED: 'limited',
  OVERLOADED: 'overloaded',
  DEADLINE: 'deadline',
  DRAINING: 'draining',
  NOT_READY: 'not_ready',
  STALE: 'stale',
  NO_RUNNER: 'no_runner',
  RUNNER_FAILED: 'runner_failed',
  OUTCOME_UNKNOWN: 'outcome_unknown',
  LOG_UNAVAILABLE: 'log_unavailable',
  PEER_UNREACHABLE: 'peer_unreachable',
  CANCELLED: 'cancelled',
  INTERNAL: 'internal',
} as const;
type ProblemKind = (typeof ProblemKind)[keyof typeof ProblemKind];

export {ProblemKind};
