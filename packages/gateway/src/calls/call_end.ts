/** Why a call ends before a runner's answer does; the texts stand in logs and metrics. */
const CallEnd = {
  CALLER_LEFT: 'caller left',
  TIME_LIMIT: 'time limit',
  HOST_LEAVES: 'host leaves',
} as const;
type CallEnd = (typeof CallEnd)[keyof typeof CallEnd];

export {CallEnd};
