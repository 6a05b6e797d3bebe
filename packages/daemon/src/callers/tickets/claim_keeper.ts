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
  /** The place in whose stream keys are claimed. */
  readonly place: string;
  readonly log: Log;
  readonly seal: Sealer;
  /** How long a key stays claimed, in ms; shorter than the log's retention. */
  readonly windowMs: number;
  /** How long one read of the log waits, in ms. */
  readonly pollMs: number;
  /** How long a claim may take until it is read back, in ms. */
  readonly timeoutMs: number;
}

const BACKOFF_FIRST_MS = 100;
const BACKOFF_MOST_MS = 3_000;

/** Claims callers' own keys in the log stream of a place: the first claim in the log's order wins. */
export class ClaimKeeper implements Service {
  readonly name = 'claim keeper';
  private readonly stopping = new AbortController();
  private readonly table: ClaimTable;
  private readonly stream: string;
  private readonly waiters = new Set<() => void>();
  private position = 0;
  private sawEnd = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    const table = new ClaimTable(options.windowMs);
    this.table = table;
    this.stream = `claims.${options.place}`;
  }

  /** Claims a key and gives the claim that won, once it was read back. Nothing was dispatched when this fails. */
  async claim(key: string): Promise<ClaimRecord> {
    const {clock, log, seal, identity, timeoutMs} = this.options;
    const deadline = clock.now() + timeoutMs;
    await this.waitUntil(() => this.sawEnd, deadline);
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
      await log.append(this.stream, [seal.seal(record)]);
    } catch (error) {
      if (!this.table.findWinner(key)) throw logProblem(error);
    }
    await this.waitUntil(
      () => this.table.findWinner(key) !== undefined,
      deadline,
    );
    return this.table.findWinner(key)!;
  }

  /** Keys that are claimed, as far as this host has read. */
  get size(): number {
    return this.table.size;
  }

  /** Whether the key was claimed, as far as this host has read. */
  knows(key: string): boolean {
    return this.table.findWinner(key) !== undefined;
  }

  async start(): Promise<void> {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {clock, random, logger} = this.options;
    const backoff = new Backoff({
      random,
      initialMs: BACKOFF_FIRST_MS,
      maxMs: BACKOFF_MOST_MS,
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
    const {log, pollMs} = this.options;
    const waitMs = this.sawEnd ? pollMs : 0;
    const page = await log.read(this.stream, this.position, {
      waitMs,
      signal: this.stopping.signal,
    });
    for (const record of page.records) {
      const parsed = ClaimRecord.safeParse(
        this.options.seal.open(record.value).orDefault(undefined),
      );
      if (parsed.success) this.table.fold(parsed.data, record.at);
    }
    const last = page.records.at(-1);
    if (last) this.position = last.offset + 1;
    else this.position = Math.max(this.position, page.first);
    if (this.position >= page.next) this.sawEnd = true;
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
          reject(logProblem());
        },
      );
      this.waiters.add(check);
    });
  }
}

function logProblem(cause?: unknown): Problem {
  return new Problem({
    kind: ProblemKind.LOG_UNAVAILABLE,
    what: 'the key could not be claimed in the log, so the request was not dispatched',
    remedy:
      'take a ticket with POST /v1/tickets and use it as the key, or come back later',
    retryAfterMs: 2_000,
    cause,
  });
}
