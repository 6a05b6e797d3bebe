import type {Usage} from '@bayspool/decisions';

/** An event of a streamed completion: each token once and in order, then the end. */
export type CompletionEvent =
  | {readonly kind: 'token'; readonly text: string}
  | {
      readonly kind: 'final';
      readonly finishReason: string;
      readonly usage: Usage;
    };
