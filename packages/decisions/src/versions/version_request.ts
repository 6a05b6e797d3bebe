import type {Session} from '../sessions/session.js';

/** The properties of a request that decide which versions may answer it. */
export interface VersionRequest {
  readonly workspace: string;
  readonly task: string;
  /** A version, a model or `auto`. */
  readonly selector: string;
  readonly session?: Session;
  /** Whether this host's configuration is older than the freshness limit. */
  readonly stale: boolean;
  /** Versions that hosts suspect although the log may not say so yet. */
  readonly suspects: ReadonlySet<string>;
}
