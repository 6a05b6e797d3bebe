/** What may be repeated of a routed call. */
const CallKind = {
  /** May run any number of times. */
  SAFE: 'safe',
  /** May run once at most. */
  UNSAFE: 'unsafe',
  /** A stream of events that may run once at most. */
  STREAM: 'stream',
  /** A stream that another runner may continue after the last event passed on. */
  RESUMABLE: 'resumable',
} as const;
type CallKind = (typeof CallKind)[keyof typeof CallKind];

export {CallKind};
