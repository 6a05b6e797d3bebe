/** Why a call ends before a runner's answer does; the texts stand in logs and metrics. */
const AbortReason = {
  CALLER_DISCONNECTED: 'caller left',
  TIME_LIMIT: 'time limit',
  HOST_SHUTDOWN: 'host leaves',
} as const;
type AbortReason = (typeof AbortReason)[keyof typeof AbortReason];

export {AbortReason};
