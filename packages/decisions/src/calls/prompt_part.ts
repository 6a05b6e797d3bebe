/** A part of a prompt; several requests may share it. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
