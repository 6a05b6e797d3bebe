import {
  Bill,
  BillOutbox,
  type Log,
  type Membership,
  type Sealer,
} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {Counter} from 'prom-client';
import {z} from 'zod';
import type {HostIdentity} from '../host/host_identity.js';
import type {PeerMethodRegistry} from '../peers/peer_method_registry.js';
import {billMethods} from './bill_methods.js';
import type {BillReplicator} from './bill_replicator.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly identity: HostIdentity;
  readonly membership: Membership;
  readonly log: Log;
  readonly seal: Sealer;
  readonly methods: PeerMethodRegistry;
  readonly replicator: BillReplicator;
  /** How often bills go to the log, in ms. */
  readonly flushIntervalMs: number;
  /** How long a stop tries to place its bills, in ms. */
  readonly shutdownTimeoutMs: number;
  /** After this time bills of a process that is not heard of are adopted, in ms. */
  readonly adoptAfterMs: number;
  /** How long an answer whose bill no host takes waits for the log, in ms. */
  readonly appendTimeoutMs: number;
  /** Bills that may wait for the log. */
  readonly maxPending: number;
}

const BILLS_STREAM = 'bills';
const MAX_BATCH_SIZE = 2_000;
const SHUTDOWN_RETRY_MS = 500;

/**
 * Sees to it that each request's one bill reaches the log. A bill stands on a
 * second host before the answer is whole, goes to the log in batches, and is kept
 * until it was read back. Whoever holds the bill of a process that is gone appends it.
 */
export class BillRecorder implements Service {
  readonly name = 'bill keeper';
  private readonly stopping = new AbortController();
  private readonly ledger: BillOutbox;
  private readonly unreplicatedTotal: Counter;
  private isClosed = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    const ledger = new BillOutbox({maxBills: options.maxPending});
    this.ledger = ledger;
    this.unreplicatedTotal = options.metrics.counter(
      'bills_alone_total',
      'Bills that stood on no second host when the answer was given.',
    );
    options.metrics.observeEach(
      'bills_waiting',
      'Bills not yet read back from the log.',
      'of',
      () => ({
        self: ledger.ownCount,
        peers: ledger.heldCount,
      }),
    );
    this.registerMethods();
  }

  /** False when so many bills wait that no more work may be begun. */
  hasCapacity(): boolean {
    return this.ledger.hasCapacity();
  }

  /** Takes a request's bill; resolves when it stands on a second host or in the log, or when neither can be had in time. */
  async record(bill: Bill): Promise<void> {
    this.ledger.add(bill);
    if (await this.options.replicator.replicate(bill)) return;
    await this.appendWithTimeout(bill);
    if (!this.ledger.isPending(bill.id)) return;
    this.unreplicatedTotal.inc();
    this.options.logger.warn('bill stands on this host only', {
      requestId: bill.id,
    });
  }

  async start(): Promise<void> {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
    this.isClosed = true;
    // Owners that are killed later count on what is held here.
    this.ledger.adoptOrphaned(() => true);
    await this.drainPending();
  }

  /** The last resort when no host takes a bill. */
  private async appendWithTimeout(bill: Bill): Promise<void> {
    const {clock, appendTimeoutMs: appendWaitMs} = this.options;
    const late = new AbortController();
    await Promise.race([
      this.append([bill]),
      sleep(clock, appendWaitMs, late.signal),
    ]);
    late.abort();
  }

  /** Before the process ends its bills have to stand in the log or at a peer; tried for a bounded time. */
  private async drainPending(): Promise<void> {
    const {
      clock,
      shutdownTimeoutMs: stopWaitMs,
      replicator,
      logger,
    } = this.options;
    const deadline = clock.now() + stopWaitMs;
    for (;;) {
      await this.flush();
      const rest = this.ledger.listPending();
      if (rest.length === 0) return;
      if (await replicator.handOff(rest)) {
        logger.info('bills handed to a peer', {bills: rest.length});
        return;
      }
      if (clock.now() >= deadline) {
        logger.error('bills lost: neither the log nor a peer took them', {
          bills: rest.length,
        });
        return;
      }
      await sleep(clock, SHUTDOWN_RETRY_MS);
    }
  }

  private async run(): Promise<void> {
    const {clock, random, flushIntervalMs: flushMs} = this.options;
    while (!this.stopping.signal.aborted) {
      await sleep(clock, jitter(random, flushMs), this.stopping.signal);
      if (!this.stopping.signal.aborted) await this.flush();
    }
  }

  private async flush(): Promise<void> {
    this.adoptOrphans();
    const bills = this.ledger.listPending().slice(0, MAX_BATCH_SIZE);
    if (bills.length > 0) await this.append(bills);
  }

  private async append(bills: readonly Bill[]): Promise<void> {
    const {log, seal, identity, replicator, logger} = this.options;
    const value = seal.seal({type: 'bills', host: identity.id, bills});
    try {
      const offset = await log.append(BILLS_STREAM, [value]);
      const page = await log.read(BILLS_STREAM, offset, {waitMs: 0});
      const ids = page.records
        .filter(record => record.value === value)
        .flatMap(() => bills.map(bill => bill.id));
      this.ledger.confirm(ids);
      await replicator.releaseHolders(ids);
    } catch (error) {
      logger.warn('bills not appended', {
        bills: bills.length,
        error: String(error),
      });
    }
  }

  private adoptOrphans(): void {
    const {clock, logger, adoptAfterMs} = this.options;
    const oldest = clock.now() - adoptAfterMs;
    const adopted = this.ledger.adoptOrphaned((owner, boot, heldAt) => {
      const known = this.findBoot(owner);
      return known === undefined ? heldAt < oldest : known !== boot;
    });
    if (adopted > 0)
      logger.info('bills of a process that is gone adopted', {bills: adopted});
  }

  /** The living process of a host, here or in another place; nothing when it is not heard of. */
  private findBoot(host: string): string | undefined {
    return this.options.membership
      .listAllHosts()
      .find(entry => entry.id === host)?.boot;
  }

  private registerMethods(): void {
    const {methods} = this.options;
    const hold = z.strictObject({
      owner: z.string(),
      boot: z.string(),
      bills: z.array(Bill),
    });
    methods.register(
      billMethods.hold,
      hold,
      ({owner, boot, bills}) =>
        !this.isClosed &&
        bills.every(bill =>
          this.ledger.holdForPeer(bill, owner, boot, this.options.clock.now()),
        ),
    );
    methods.register(
      billMethods.settled,
      z.strictObject({ids: z.array(z.string())}),
      ({ids}) => {
        this.ledger.confirm(ids);
        return true;
      },
    );
    methods.register(
      billMethods.adopt,
      z.strictObject({bills: z.array(Bill)}),
      ({bills}) => {
        if (this.isClosed) return false;
        bills.forEach(bill => this.ledger.add(bill));
        return true;
      },
    );
  }
}
