import type {VersionReason} from './version_reason.js';

/** The version that a call should go to, and why. */
export interface VersionPreference {
  /** The call should go to this version only. */
  readonly preferred?: string;
  /** The call should go to any version other than this one. */
  readonly avoided?: string;
  readonly reason: VersionReason;
  /** The version that this host remembers for the call's session; undefined if it remembers none. */
  readonly remembered?: string;
}
