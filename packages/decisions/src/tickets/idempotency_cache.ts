import type {Clock} from '@bayspool/kernel';
import {Left, Right, type Either} from 'purify-ts';

interface Entry<Answer> {
  readonly fingerprint: string;
  readonly answer: Promise<Answer>;
  /** Monotonic ms; infinite while the request runs. */
  forgetAt: number;
  bytes: number;
}

interface Options<Answer> {
  readonly clock: Clock;
  /** How long an answer is kept after it is whole, in ms. */
  readonly retentionMs: number;
  /** The bytes that finished answers may hold together. */
  readonly maxBytes: number;
  readonly measureBytes: (answer: Answer) => number;
}

interface UsedKey<Answer> {
  readonly key: string;
  readonly fingerprint: string;
  readonly answer: Answer | undefined;
}

/** Why a key gives no answer. */
type Refusal = 'other request' | 'forgotten' | 'full';

const MAX_EXPIRED_KEYS = 200_000;

/**
 * Remembers the first answer for a key, so that the same key again gives the
 * same answer and never a second run. A key whose answer had to be dropped
 * stays known as used.
 */
export class IdempotencyCache<Answer> {
  private readonly entries = new Map<string, Entry<Answer>>();
  private readonly expiredKeys = new Set<string>();
  private bytes = 0;

  constructor(private readonly options: Options<Answer>) {}

  /** Gives the remembered answer, or runs `run` once and remembers what it gives. */
  runOnce(
    key: string,
    fingerprint: string,
    run: () => Promise<Answer>,
  ): Either<Refusal, Promise<Answer>> {
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

  /** Takes over an answer that another host gave; nothing means that it is no longer known. */
  adoptAnswer(
    key: string,
    fingerprint: string,
    answer: Answer | undefined,
  ): void {
    if (answer === undefined) this.expiredKeys.add(key);
    else this.runOnce(key, fingerprint, () => Promise.resolve(answer));
  }

  /** All keys that were used, with their answers as far as they are still kept. */
  async listUsedKeys(): Promise<UsedKey<Answer>[]> {
    const kept = [...this.entries].map(
      async ([key, {fingerprint, answer}]) => ({
        key,
        fingerprint,
        answer: await answer.catch(() => undefined),
      }),
    );
    const forgotten = [...this.expiredKeys].map(key => ({
      key,
      fingerprint: '',
      answer: undefined,
    }));
    return [...(await Promise.all(kept)), ...forgotten];
  }

  /** Whether the key was used before. */
  hasKey(key: string): boolean {
    return this.entries.has(key) || this.expiredKeys.has(key);
  }

  /** Frees a key whose request is known not to have run. */
  release(key: string): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    this.bytes -= entry.bytes;
    this.entries.delete(key);
  }

  /** Keys whose request has not ended. */
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
