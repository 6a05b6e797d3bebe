import type {CallRoute, ApiKeyOwner} from '@bayspool/decisions/calls';

/** Route and API key owner of a request that passed validation. */
export interface ValidatedRequest {
  readonly route: CallRoute;
  /** Owner of the request's API key, if the key is known. */
  readonly keyOwner?: ApiKeyOwner;
}
