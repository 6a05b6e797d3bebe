import {hashToUint32} from '@bayspool/decisions/calls';
import type {Prompt, PromptPart} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {PartNews} from './part_news.js';

interface Options {
  readonly clock: Clock;
}

interface Item {
  readonly runner: string;
  readonly key: number;
  readonly at: number;
}

/** Parts remembered for each runner; the oldest give way, as they do in the runner's memory. */
const MAX_PARTS = 4_000;
/**
 * How long a part read is told to other hosts, in ms: three passes between hosts, each of which
 * waits 0.4 s and a little more, and one that is lost.
 */
const TOLD_MS = 2_500;
/** Parts that are told at once, so that what hosts tell each other stays bounded; the newest count. */
const MAX_TOLD = 64;

/** Which parts of prompts the hosts had each runner read lately, by model. */
export class PrefixBook {
  private readonly byRunner = new Map<string, Set<number>>();
  private items: Item[] = [];

  constructor(private readonly options: Options) {}

  /**
   * Tells for any runner how many tokens at the start of the prompt it probably still keeps. The keys of
   * the parts are made once for all runners.
   */
  keptTokensOf(model: string, {parts}: Prompt): (runner: string) => number {
    const keys = parts.map(part => keyOf(model, part));
    return runner => {
      const known = this.byRunner.get(runner);
      if (!known) return 0;
      const missing = keys.findIndex(key => !known.has(key));
      const kept = missing < 0 ? parts : parts.slice(0, missing);
      return kept.reduce((sum, {tokens}) => sum + tokens, 0);
    };
  }

  /** Notes that a runner reads the parts of a prompt for this host. */
  note(runner: string, model: string, prompt: Prompt): void {
    const at = this.options.clock.now();
    const last = prompt.parts.length - 1;
    prompt.parts.forEach((part, index) => {
      const key = keyOf(model, part);
      const isNew = this.add(runner, key);
      // The last part belongs to the call or its session, which mostly stays with this host.
      if (isNew && index < last) this.items.push({runner, key, at});
    });
  }

  /** Parts that this host had runners read lately, for the other hosts. */
  news(): PartNews {
    const since = this.options.clock.now() - TOLD_MS;
    this.items = this.items.filter(({at}) => at > since).slice(-MAX_TOLD);
    const news: Record<string, number[]> = {};
    for (const {runner, key} of this.items) (news[runner] ??= []).push(key);
    return news;
  }

  /** Takes in what other hosts had a runner read. */
  takeNews(runner: string, keys: readonly number[]): void {
    for (const key of keys) this.add(runner, key);
  }

  /** Drops what is remembered for a runner. */
  forget(runner: string): void {
    this.byRunner.delete(runner);
    this.items = this.items.filter(item => item.runner !== runner);
  }

  /** @returns whether the part was not known for the runner */
  private add(runner: string, key: number): boolean {
    const parts = this.byRunner.get(runner) ?? new Set<number>();
    this.byRunner.set(runner, parts);
    const isNew = !parts.delete(key);
    parts.add(key);
    if (parts.size > MAX_PARTS) {
      const [oldest] = parts;
      parts.delete(oldest);
    }
    return isNew;
  }
}

function keyOf(model: string, {id}: PromptPart): number {
  return hashToUint32(`${model}|${id}`);
}
