/** Why a call is aborted before a runner's response is complete; the texts appear in logs and metrics. */
const AbortReason = {
  CALLER_DISCONNECTED: 'caller left',
  TIME_LIMIT: 'time limit',
  HOST_SHUTDOWN: 'host leaves',
} as const;
type AbortReason = (typeof AbortReason)[keyof typeof AbortReason];

export {AbortReason};
