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

/** Parts kept per runner; the oldest are evicted first, as in the prefix cache of the runner. */
const MAX_PARTS_PER_RUNNER = 4_000;
/**
 * How long a new part is included in the exchange with other hosts, in ms: three hops between hosts with
 * a wait of a little more than 0.4 s each, and one lost message.
 */
const SHARED_FOR_MS = 2_500;
/** Maximum number of parts per exchange, which bounds the size of the messages; the newest are sent. */
const MAX_SHARED_KEYS = 64;

/** Index of the prompt parts that each runner probably holds in its prefix cache, by model. */
export class PrefixCacheIndex {
  private readonly byRunner = new Map<string, Set<number>>();
  private recentParts: RecentPart[] = [];

  constructor(private readonly options: Options) {}

  /**
   * Returns a function that estimates how many tokens at the start of the prompt a runner has in its cache.
   * The keys of the parts are computed once for all runners.
   */
  createCachedTokenCounter(
    model: string,
    {parts}: Prompt,
  ): (runner: string) => number {
    const keys = parts.map(part => hashPart(model, part));
    return runner => {
      const cachedKeys = this.byRunner.get(runner);
      if (!cachedKeys) return 0;
      const missing = keys.findIndex(key => !cachedKeys.has(key));
      const cached = missing < 0 ? parts : parts.slice(0, missing);
      return cached.reduce((sum, {tokens}) => sum + tokens, 0);
    };
  }

  /** Notes that a runner processes the parts of a prompt for this host. */
  notePrompt(runner: string, model: string, prompt: Prompt): void {
    const at = this.options.clock.now();
    const last = prompt.parts.length - 1;
    prompt.parts.forEach((part, index) => {
      const key = hashPart(model, part);
      const isNew = this.addKey(runner, key);
      // The last part belongs to the call or its session, and most sessions stay with one host.
      if (isNew && index < last) this.recentParts.push({runner, key, at});
    });
  }

  /** Parts that runners recently processed for this host, to send to other hosts. */
  collectRecentKeys(): PartKeysByRunner {
    const since = this.options.clock.now() - SHARED_FOR_MS;
    this.recentParts = this.recentParts
      .filter(({at}) => at > since)
      .slice(-MAX_SHARED_KEYS);
    const keys = new Map<string, number[]>();
    for (const {runner, key} of this.recentParts) {
      const known = keys.get(runner);
      if (known) known.push(key);
      else keys.set(runner, [key]);
    }
    return Object.fromEntries(keys);
  }

  /** Adds parts that a runner processed for other hosts. */
  addKeysFromPeers(runner: string, keys: readonly number[]): void {
    for (const key of keys) this.addKey(runner, key);
  }

  /** Removes all parts of a runner. */
  removeRunner(runner: string): void {
    this.byRunner.delete(runner);
    this.recentParts = this.recentParts.filter(item => item.runner !== runner);
  }

  /** @returns whether the part is new for the runner */
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
