import type {CallRoute, Prompt} from '@bayspool/decisions/calls';

/** What is known of a call once the head of its request was read. */
export interface CallHead {
  readonly id: string;
  readonly route: CallRoute;
  /** On this host's clock, as is `deadlineAt`. */
  readonly acceptedAt: number;
  readonly deadlineAt: number;
  readonly prompt?: Prompt;
}
