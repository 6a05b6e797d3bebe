import type {CallLimits} from './call_limits.js';
import type {CallRoute} from './call_route.js';
import type {CallService} from './call_service.js';
import type {ApiKeyOwner} from './api_key_owner.js';

/** One version of all that operators set for routed calls. */
export interface CallConfiguration {
  /** Rises with each version, in uneven steps. */
  readonly version: number;
  readonly routes: readonly CallRoute[];
  readonly services: ReadonlyMap<string, CallService>;
  readonly limits: CallLimits;
  /** Holders by API key; absent when callers need no keys. */
  readonly keys?: ReadonlyMap<string, ApiKeyOwner>;
}
