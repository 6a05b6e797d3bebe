/** What one connect tells of whether a process listens at a runner's address. */
const ListenerState = {
  /** The system there accepted the connection; the process may be suspended, or another one. */
  LISTENING: 'listening',
  /** No process listens. */
  REFUSED: 'refused',
  /** There was no reply, or no way there. */
  UNKNOWN: 'unknown',
} as const;
type ListenerState = (typeof ListenerState)[keyof typeof ListenerState];

export {ListenerState};
