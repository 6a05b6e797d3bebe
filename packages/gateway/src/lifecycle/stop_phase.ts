/** How far a call has come when a stopping host refuses it; the texts appear in logs and metrics. */
const StopPhase = {
  /** Its head was read. */
  HEAD: 'head',
  /** Its body is being read. */
  BODY: 'body',
  /** It waits for capacity. */
  ADMISSION: 'admission',
  /** It would be sent to a runner or to another host, the first time. */
  ATTEMPT: 'attempt',
  /** It may have run, and would be sent once more. */
  RETRY: 'retry',
} as const;
type StopPhase = (typeof StopPhase)[keyof typeof StopPhase];

export {StopPhase};
