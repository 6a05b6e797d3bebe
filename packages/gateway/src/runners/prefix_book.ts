import type {Prompt} from '@bayspool/decisions/calls';

/** Parts remembered for each runner; the oldest give way, as they do in the runner's memory. */
const MAX_PARTS = 4_000;

/** Which parts of prompts this host had each runner read lately, by model. */
export class PrefixBook {
  private readonly byRunner = new Map<string, Set<string>>();

  /** Tokens at the start of the prompt that the runner probably still keeps. */
  keptTokens(runner: string, model: string, prompt: Prompt): number {
    const parts = this.byRunner.get(runner);
    if (!parts) return 0;
    let kept = 0;
    for (const part of prompt.parts) {
      if (!parts.has(`${model}|${part.id}`)) break;
      kept += part.tokens;
    }
    return kept;
  }

  /** Notes that a runner reads the parts of a prompt. */
  note(runner: string, model: string, prompt: Prompt): void {
    const parts = this.byRunner.get(runner) ?? new Set<string>();
    this.byRunner.set(runner, parts);
    for (const part of prompt.parts) {
      const key = `${model}|${part.id}`;
      parts.delete(key);
      parts.add(key);
    }
    while (parts.size > MAX_PARTS) {
      const [oldest] = parts;
      parts.delete(oldest);
    }
  }

  /** Drops what is remembered for a runner. */
  forget(runner: string): void {
    this.byRunner.delete(runner);
  }
}
