import {hashToUint32} from '@bayspool/decisions/calls';
import type {Prompt, PromptPart} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {PartKeysByRunner} from './part_keys_by_runner.js';

interface Options {
  readonly clock: Clock;
}

interface RecentPart {
  readonly runner: string;
  readonly key: number;
  readonly at: number;
}

/** Parts remembered for each runner; the oldest give way, as they do in the runner's memory. */
const MAX_PARTS_PER_RUNNER = 4_000;
/**
 * How long a part read is told to other hosts, in ms: three passes between hosts, each of which
 * waits 0.4 s and a little more, and one that is lost.
 */
const SHARED_FOR_MS = 2_500;
/** Parts that are told at once, so that what hosts tell each other stays bounded; the newest count. */
const MAX_SHARED_KEYS = 64;

/** Which parts of prompts the hosts had each runner read lately, by model. */
export class PrefixCacheIndex {
  private readonly byRunner = new Map<string, Set<number>>();
  private recentParts: RecentPart[] = [];

  constructor(private readonly options: Options) {}

  /**
   * Tells for any runner how many tokens at the start of the prompt it probably still keeps. The keys of
   * the parts are made once for all runners.
   */
  createCachedTokenCounter(
    model: string,
    {parts}: Prompt,
  ): (runner: string) => number {
    const keys = parts.map(part => hashPart(model, part));
    return runner => {
      const known = this.byRunner.get(runner);
      if (!known) return 0;
      const missing = keys.findIndex(key => !known.has(key));
      const kept = missing < 0 ? parts : parts.slice(0, missing);
      return kept.reduce((sum, {tokens}) => sum + tokens, 0);
    };
  }

  /** Notes that a runner reads the parts of a prompt for this host. */
  notePrompt(runner: string, model: string, prompt: Prompt): void {
    const at = this.options.clock.now();
    const last = prompt.parts.length - 1;
    prompt.parts.forEach((part, index) => {
      const key = hashPart(model, part);
      const isNew = this.addKey(runner, key);
      // The last part belongs to the call or its session, which mostly stays with this host.
      if (isNew && index < last) this.recentParts.push({runner, key, at});
    });
  }

  /** Parts that this host had runners read lately, for the other hosts. */
  collectRecentKeys(): PartKeysByRunner {
    const since = this.options.clock.now() - SHARED_FOR_MS;
    this.recentParts = this.recentParts
      .filter(({at}) => at > since)
      .slice(-MAX_SHARED_KEYS);
    const news: Record<string, number[]> = {};
    for (const {runner, key} of this.recentParts)
      (news[runner] ??= []).push(key);
    return news;
  }

  /** Takes in what other hosts had a runner read. */
  addKeysFromPeers(runner: string, keys: readonly number[]): void {
    for (const key of keys) this.addKey(runner, key);
  }

  /** Drops what is remembered for a runner. */
  removeRunner(runner: string): void {
    this.byRunner.delete(runner);
    this.recentParts = this.recentParts.filter(item => item.runner !== runner);
  }

  /** @returns whether the part was not known for the runner */
  private addKey(runner: string, key: number): boolean {
    const parts = this.byRunner.get(runner) ?? new Set<number>();
    this.byRunner.set(runner, parts);
    const isNew = !parts.delete(key);
    parts.add(key);
    if (parts.size > MAX_PARTS_PER_RUNNER) {
      const [oldest] = parts;
      parts.delete(oldest);
    }
    return isNew;
  }
}

function hashPart(model: string, {id}: PromptPart): number {
  return hashToUint32(`${model}|${id}`);
}
