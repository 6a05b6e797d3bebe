/** Whether a routed call may be repeated, and whether its response is streamed. */
const CallKind = {
  /** May run any number of times. */
  SAFE: 'safe',
  /** May run at most once. */
  UNSAFE: 'unsafe',
  /** A stream of events that may run at most once. */
  STREAM: 'stream',
  /** A stream that another runner may continue after the last event forwarded. */
  RESUMABLE: 'resumable',
} as const;
type CallKind = (typeof CallKind)[keyof typeof CallKind];

export {CallKind};
