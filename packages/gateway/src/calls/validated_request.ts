import type {CallRoute, ApiKeyOwner} from '@bayspool/decisions/calls';

/** What a request that may run was found to be for. */
export interface ValidatedRequest {
  readonly route: CallRoute;
  /** Whose key it came with, if it came with a known one. */
  readonly holder?: ApiKeyOwner;
}
