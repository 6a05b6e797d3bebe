import type {EngineProfile} from './engine_profile.js';

/** A group of runners that serve the same calls. */
export interface CallService {
  readonly name: string;
  /** Connections that one runner accepts from all hosts together. */
  readonly maxConnections: number;
  /** Calls a second that a runner bears while it is slow from its start; undefined if nothing bounds them. */
  readonly coldCallsPerSecond?: number;
  /** What is known of the model engine; absent for plain services. */
  readonly engine?: EngineProfile;
}
