import type {GenerateEvent, GenerateRequest} from '@bayspool/decisions';

/** One request inside a stand-in engine. */
export interface Work {
  readonly request: GenerateRequest;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly arrived: number;
  readonly emit: (event: GenerateEvent) => void;
  /** The next token's index. */
  next: number;
  /** Time at which the prefill is done, on the engine's clock. */
  readyAt: number;
  cancelled: boolean;
}
