import type {QueuedRequest} from '@bayspool/decisions';
import type {Problem} from '@bayspool/kernel';

/** A request's wish for a place at a runner. */
export interface SlotRequest extends QueuedRequest {
  /** The version, or the name of the plain service. */
  readonly version: string;
  /** Asked again at the moment of dispatch: a problem means that it must not run any more. */
  readonly revalidate: () => Problem | undefined;
  /** The places to use, the preferred one first. */
  readonly places: readonly string[];
  /** Whether it may go to another place when these are full. */
  readonly allowsCrossing: boolean;
  readonly prefixes: readonly string[];
  /** Runners that failed it already; used only when there is no other. */
  readonly avoidedIds: ReadonlySet<string>;
}
