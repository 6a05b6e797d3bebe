import type {CallLimits} from './call_limits.js';
import type {CallRoute} from './call_route.js';
import type {CallService} from './call_service.js';
import type {ApiKeyOwner} from './api_key_owner.js';

/** One version of the configuration of routed calls. */
export interface CallConfiguration {
  /** Increases with each version, not necessarily by 1. */
  readonly version: number;
  readonly routes: readonly CallRoute[];
  readonly services: ReadonlyMap<string, CallService>;
  readonly limits: CallLimits;
  /** Key owners by API key; absent if callers need no keys. */
  readonly keys?: ReadonlyMap<string, ApiKeyOwner>;
}
