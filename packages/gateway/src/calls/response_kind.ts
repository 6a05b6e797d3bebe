/** What a response of a runner is to the attempt that waits for it. */
const ResponseKind = {
  /** It belongs to another request of the connection. */
  OTHER_REQUEST: 'other-request',
  /** The runner reports that it did not run the request. */
  NOT_RUN: 'not-run',
  /** A success that can't be passed on: it is unsigned or encoded. */
  UNUSABLE: 'unusable',
  /** A success whose body is a stream of events. */
  STREAM: 'stream',
  /** Another success. */
  WHOLE: 'whole',
  /** A status that is no success; the request may have run. */
  FAILURE: 'failure',
} as const;
type ResponseKind = (typeof ResponseKind)[keyof typeof ResponseKind];

export {ResponseKind};
