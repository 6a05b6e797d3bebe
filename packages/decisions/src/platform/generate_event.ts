import type {Usage} from './usage.js';

/** An event in an engine's response stream. */
export type GenerateEvent =
  | {
      readonly kind: 'token';
      readonly requestId: string;
      /** Index of the token in the answer, from 0. */
      readonly index: number;
      readonly text: string;
    }
  | {
      /** Ends the stream; an answer without this event is incomplete. */
      readonly kind: 'final';
      readonly requestId: string;
      readonly finishReason: string;
      readonly usage: Usage;
    };
