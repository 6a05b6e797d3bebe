/** A part of a prompt; parts may be shared between requests. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
