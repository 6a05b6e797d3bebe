import type {RouteDurationSummary} from '@bayspool/decisions/capacity';

/** How long calls of a route take, as a host tells it to another. */
export interface ToldDurations extends RouteDurationSummary {
  /** Whether the host has it from another one: it is not passed on further. */
  readonly isRelayed?: boolean;
}
