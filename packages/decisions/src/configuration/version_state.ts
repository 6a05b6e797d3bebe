/** The states of a version, in the order of its lifecycle. */
const VersionState = {
  /** Gets a fraction of the requests that grows in steps while a gate evaluates its answers. */
  ROLLING_OUT: 'rolling-out',
  STABLE: 'stable',
  /** Existing sessions continue, but no new ones start. */
  RETIRING: 'retiring',
  /** No new requests at all; streams that are already running finish. */
  WITHDRAWN: 'withdrawn',
} as const;
type VersionState = (typeof VersionState)[keyof typeof VersionState];

export {VersionState};
