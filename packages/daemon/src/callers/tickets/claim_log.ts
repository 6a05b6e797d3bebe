import {randomUUID} from 'node:crypto';
import {
  Backoff,
  ClaimRecord,
  ClaimTable,
  type Log,
  type Sealer,
} from '@bayspool/decisions';
import {
  Problem,
  ProblemKind,
  sleep,
  type Clock,
  type Logger,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {HostIdentity} from '../../host/host_identity.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly identity: HostIdentity;
  /** The place whose log stream holds the claims. */
  readonly place: string;
  readonly log: Log;
  readonly sealer: Sealer;
  /** How long a claim lasts, in ms; must be shorter than the log's retention. */
  readonly claimTtlMs: number;
  /** How long one long poll of the log waits, in ms. */
  readonly longPollMs: number;
  /** Timeout for appending a claim and reading it back, in ms. */
  readonly claimTimeoutMs: number;
}

const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 3_000;

/** Claims callers' own keys in the log stream of a place: the first claim in log order wins. */
export class ClaimLog implements Service {
  readonly name = 'claim keeper';
  private readonly stopping = new AbortController();
  private readonly table: ClaimTable;
  private readonly stream: string;
  private readonly waiters = new Set<() => void>();
  private nextOffset = 0;
  private hasReadToEnd = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    const table = new ClaimTable(options.claimTtlMs);
    this.table = table;
    this.stream = `claims.${options.place}`;
  }

  /** Claims a key and returns the winning claim once it has been read back. When this fails, nothing was dispatched. */
  async claim(key: string): Promise<ClaimRecord> {
    const {clock, log, sealer, identity, claimTimeoutMs} = this.options;
    const deadline = clock.now() + claimTimeoutMs;
    await this.waitUntil(() => this.hasReadToEnd, deadline);
    const known = this.table.findWinner(key);
    if (known) return known;
    const record: ClaimRecord = {
      type: 'claim',
      id: randomUUID(),
      key,
      host: identity.id,
      place: identity.place,
      boot: identity.boot,
      address: identity.peerAddress,
    };
    try {
      await log.append(this.stream, [sealer.seal(record)]);
    } catch (error) {
      if (!this.table.findWinner(key)) throw createClaimFailedProblem(error);
    }
    await this.waitUntil(
      () => this.table.findWinner(key) !== undefined,
      deadline,
    );
    return this.table.findWinner(key)!;
  }

  /** The number of claimed keys, as far as this host has read the log. */
  get size(): number {
    return this.table.size;
  }

  /** Whether the key is claimed, as far as this host has read the log. */
  hasClaim(key: string): boolean {
    return this.table.findWinner(key) !== undefined;
  }

  async start(): Promise<void> {
    this.loop = this.followStream();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async followStream(): Promise<void> {
    const {clock, random, logger} = this.options;
    const backoff = new Backoff({
      random,
      initialMs: MIN_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    while (!this.stopping.signal.aborted) {
      try {
        await this.readPage();
        backoff.reset();
      } catch (error) {
        if (this.stopping.signal.aborted) return;
        logger.debug('log read failed', {
          stream: this.stream,
          error: String(error),
        });
        await sleep(clock, backoff.nextDelayMs(), this.stopping.signal);
      }
    }
  }

  private async readPage(): Promise<void> {
    const {log, longPollMs} = this.options;
    const waitMs = this.hasReadToEnd ? longPollMs : 0;
    const page = await log.read(this.stream, this.nextOffset, {
      waitMs,
      signal: this.stopping.signal,
    });
    for (const record of page.records) {
      const parsed = ClaimRecord.safeParse(
        this.options.sealer.open(record.value).orDefault(undefined),
      );
      if (parsed.success) this.table.fold(parsed.data, record.at);
    }
    const last = page.records.at(-1);
    if (last) this.nextOffset = last.offset + 1;
    else this.nextOffset = Math.max(this.nextOffset, page.first);
    if (this.nextOffset >= page.next) this.hasReadToEnd = true;
    for (const wake of [...this.waiters]) wake();
  }

  private waitUntil(condition: () => boolean, deadline: number): Promise<void> {
    if (condition()) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const check = () => {
        if (!condition()) return;
        finish();
        resolve();
      };
      const finish = () => {
        timer.cancel();
        this.waiters.delete(check);
      };
      const timer = this.options.clock.after(
        deadline - this.options.clock.now(),
        () => {
          finish();
          reject(createClaimFailedProblem());
        },
      );
      this.waiters.add(check);
    });
  }
}

function createClaimFailedProblem(cause?: unknown): Problem {
  return new Problem({
    kind: ProblemKind.LOG_UNAVAILABLE,
    what: 'the key could not be claimed in the log, so the request was not dispatched',
    remedy:
      'take a ticket with POST /v1/tickets and use it as the key, or come back later',
    retryAfterMs: 2_000,
    cause,
  });
}
