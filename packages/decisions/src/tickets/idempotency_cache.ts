import type {Clock} from '@bayspool/kernel';
import {Left, Right, type Either} from 'purify-ts';

interface Entry<Answer> {
  readonly fingerprint: string;
  readonly answer: Promise<Answer>;
  /** Monotonic expiry time in ms; infinite while the request runs. */
  forgetAt: number;
  bytes: number;
}

interface Options<Answer> {
  readonly clock: Clock;
  /** How long an answer is kept after it is complete, in ms. */
  readonly retentionMs: number;
  /** Maximum total size of complete answers, in bytes. */
  readonly maxBytes: number;
  readonly measureBytes: (answer: Answer) => number;
}

interface UsedKey<Answer> {
  readonly key: string;
  readonly fingerprint: string;
  readonly answer: Answer | undefined;
}

/** Why there is no answer for a key. */
type Rejection = 'other request' | 'forgotten' | 'full';

const MAX_EXPIRED_KEYS = 200_000;

/**
 * Caches the first answer for an idempotency key, so that a repeated key gets the same answer and the
 * request never runs twice. A key whose answer was evicted is still known to be used.
 */
export class IdempotencyCache<Answer> {
  private readonly entries = new Map<string, Entry<Answer>>();
  private readonly expiredKeys = new Set<string>();
  private bytes = 0;

  constructor(private readonly options: Options<Answer>) {}

  /** Returns the cached answer, or calls `run` once and caches its result. */
  runOnce(
    key: string,
    fingerprint: string,
    run: () => Promise<Answer>,
  ): Either<Rejection, Promise<Answer>> {
    this.expire();
    const known = this.entries.get(key);
    if (known)
      return known.fingerprint === fingerprint
        ? Right(known.answer)
        : Left('other request');
    if (this.expiredKeys.has(key)) return Left('forgotten');
    if (this.expiredKeys.size >= MAX_EXPIRED_KEYS) return Left('full');
    const entry: Entry<Answer> = {
      fingerprint,
      answer: run(),
      forgetAt: Infinity,
      bytes: 0,
    };
    this.entries.set(key, entry);
    void entry.answer.then(
      answer => this.recordCompletion(entry, this.options.measureBytes(answer)),
      () => this.recordCompletion(entry, 0),
    );
    return Right(entry.answer);
  }

  /** Takes over a key from another host; `answer` is undefined when it is no longer stored there. */
  adoptAnswer(
    key: string,
    fingerprint: string,
    answer: Answer | undefined,
  ): void {
    if (answer === undefined) this.expiredKeys.add(key);
    else this.runOnce(key, fingerprint, () => Promise.resolve(answer));
  }

  /** Lists all used keys, with their answers if they are still cached. */
  async listUsedKeys(): Promise<UsedKey<Answer>[]> {
    const cached = [...this.entries].map(
      async ([key, {fingerprint, answer}]) => ({
        key,
        fingerprint,
        answer: await answer.catch(() => undefined),
      }),
    );
    const expired = [...this.expiredKeys].map(key => ({
      key,
      fingerprint: '',
      answer: undefined,
    }));
    return [...(await Promise.all(cached)), ...expired];
  }

  /** Whether the key was used before. */
  hasKey(key: string): boolean {
    return this.entries.has(key) || this.expiredKeys.has(key);
  }

  /** Removes a key whose request is known not to have run, so that it can be used again. */
  release(key: string): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    this.bytes -= entry.bytes;
    this.entries.delete(key);
  }

  /** Counts the keys whose request is still running. */
  countRunning(): number {
    return [...this.entries.values()].filter(
      entry => entry.forgetAt === Infinity,
    ).length;
  }

  private recordCompletion(entry: Entry<Answer>, bytes: number): void {
    entry.bytes = bytes;
    entry.forgetAt = this.options.clock.now() + this.options.retentionMs;
    this.bytes += bytes;
  }

  private expire(): void {
    const now = this.options.clock.now();
    for (const [key, entry] of this.entries) {
      if (entry.forgetAt === Infinity) continue;
      if (entry.forgetAt > now && this.bytes <= this.options.maxBytes) break;
      this.release(key);
      this.expiredKeys.add(key);
    }
  }
}
