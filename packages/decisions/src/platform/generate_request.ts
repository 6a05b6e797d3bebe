import type {PriorityClass} from '../configuration/priority_class.js';

/** One attempt to generate an answer. */
export interface GenerateRequest {
  /** Equal for all attempts of a caller's request; engines use it to resume. */
  readonly requestId: string;
  readonly version: string;
  /** The caller's body in the OpenAI chat format. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly priority: PriorityClass;
  /** Number of tokens that the caller already received; generation continues after them. */
  readonly resumeFrom: number;
  /** The text of those tokens, so that another engine can continue it. */
  readonly generatedText: string;
  /** Hashes of the prompt's prefixes, longest last; see `hashPromptPrefixes`. */
  readonly prefixes: readonly string[];
  /** Trace propagation headers. */
  readonly headers: Readonly<Record<string, string>>;
}
