import type {QueuedRequest} from '@bayspool/decisions';
import type {Problem} from '@bayspool/kernel';

/** A request for a free slot on a runner. */
export interface SlotRequest extends QueuedRequest {
  /** The version, or the name of the plain service. */
  readonly version: string;
  /** Called again right before dispatch; a problem means that the request must no longer run. */
  readonly revalidate: () => Problem | undefined;
  /** The places whose runners may serve it, the preferred one first. */
  readonly places: readonly string[];
  /** Whether runners of other places may serve it when these are full or have failed it. */
  readonly allowsCrossing: boolean;
  readonly prefixes: readonly string[];
  /** Ids of runners that already failed this request; used only when no other that may serve it has capacity. */
  readonly avoidedIds: ReadonlySet<string>;
}
