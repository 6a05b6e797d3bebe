import type {PriorityClass} from '../configuration/priority_class.js';

/** One attempt at an answer. */
export interface GenerateRequest {
  /** The same for every attempt at one caller's request; engines use it to resume. */
  readonly requestId: string;
  readonly version: string;
  /** The caller's body in the OpenAI chat format. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly priority: PriorityClass;
  /** How many tokens the caller already has; generation goes on after them. */
  readonly resumeFrom: number;
  /** The text of those tokens, so that another engine can go on from it. */
  readonly generatedText: string;
  /** The chain of prefix names of the prompt, longest last. */
  readonly prefixes: readonly string[];
  /** Trace headers. */
  readonly headers: Readonly<Record<string, string>>;
}
