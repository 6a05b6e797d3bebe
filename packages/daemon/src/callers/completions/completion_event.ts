import type {Usage} from '@bayspool/decisions';

/** The tokens of one answer as they come, each once and in order, and its end. */
export type CompletionEvent =
  | {readonly kind: 'token'; readonly text: string}
  | {
      readonly kind: 'final';
      readonly finishReason: string;
      readonly usage: Usage;
    };
