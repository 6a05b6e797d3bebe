/** What a fault proxy does with the bytes between two processes. */
const FaultMode = {
  PASS: 'pass',
  /** Ends open connections at once, and new ones as they come. */
  CUT: 'cut',
  /** Ends new connections as they come; open ones work. */
  REFUSE: 'refuse',
  /** Swallows everything, so that both sides wait. */
  HOLD: 'hold',
  /** Swallows what the client sends. */
  DROP_REQUESTS: 'drop-requests',
  /** Swallows what the server answers, after it acted. */
  DROP_REPLIES: 'drop-replies',
} as const;
type FaultMode = (typeof FaultMode)[keyof typeof FaultMode];

export {FaultMode};
