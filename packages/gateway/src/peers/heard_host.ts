import type {ServingClaim} from './serving_claim.js';

/** What a host stated about who takes new callers. */
export interface HeardHost {
  /** Order of its newest statement; undefined if it gave none. */
  readonly order: number | undefined;
  /** That it takes callers itself. */
  readonly serving: ServingClaim;
  /** That it heard so from a further host. */
  readonly told: ServingClaim;
  /** Until when its older statements are told from newer ones, on this host's clock. */
  readonly keptUntil: number;
}
