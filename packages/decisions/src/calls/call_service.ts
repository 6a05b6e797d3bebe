import type {EngineProfile} from './engine_profile.js';

/** A group of runners that serve the same calls. */
export interface CallService {
  readonly name: string;
  /** Maximum number of connections that a runner accepts from all hosts together. */
  readonly maxConnections: number;
  /** Calls per second that a runner can handle during its cold start; undefined if unlimited. */
  readonly coldCallsPerSecond?: number;
  /** Path of the runners' health check; undefined if the platform names none. */
  readonly healthPath?: string;
  /** Profile of the model engine; absent for plain services. */
  readonly engine?: EngineProfile;
}
