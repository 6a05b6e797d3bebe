import type {VersionReason} from './version_reason.js';

/** What version a call should have, and why. */
export interface VersionPreference {
  /** Only this version. */
  readonly preferred?: string;
  /** Any version but this one. */
  readonly avoided?: string;
  readonly reason: VersionReason;
  /** The version that this host remembers of the call's session; undefined if it knows none. */
  readonly remembered?: string;
}
