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
  readonly sealer: Sealer;
  readonly methods: PeerMethodRegistry;
  readonly replicator: BillReplicator;
  /** How often pending bills are appended to the log, in ms. */
  readonly flushIntervalMs: number;
  /** How long shutdown tries to append the remaining bills or to hand them to a peer, in ms. */
  readonly shutdownTimeoutMs: number;
  /** How long bills of a process that the membership does not list are held before they are adopted, in ms. */
  readonly adoptAfterMs: number;
  /** How long an answer waits for the append when no peer accepts its bill, in ms. */
  readonly appendTimeoutMs: number;
  /** Bills, own and held for peers, that may wait to be appended. */
  readonly maxPending: number;
}

const BILLS_STREAM = 'bills';
const MAX_BATCH_SIZE = 2_000;
const SHUTDOWN_RETRY_MS = 500;

/**
 * Records the single bill of each request durably. A bill is replicated to a
 * second host before its answer completes, is appended to the log in batches, and
 * is kept until it has been read back. The holder of a dead process's bills adopts
 * them and appends them itself.
 */
export class BillRecorder implements Service {
  readonly name = 'bill keeper';
  private readonly stopping = new AbortController();
  private readonly outbox: BillOutbox;
  private readonly unreplicatedTotal: Counter;
  private isClosed = false;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    const outbox = new BillOutbox({maxBills: options.maxPending});
    this.outbox = outbox;
    this.unreplicatedTotal = options.metrics.counter(
      'bills_alone_total',
      'Bills that stood on no second host when the answer was given.',
    );
    options.metrics.observeEach(
      'bills_waiting',
      'Bills not yet read back from the log.',
      'of',
      () => ({
        self: outbox.ownCount,
        peers: outbox.heldCount,
      }),
    );
    this.registerMethods();
  }

  /** False when too many bills are pending to accept new work. */
  hasCapacity(): boolean {
    return this.outbox.hasCapacity();
  }

  /**
   * Records a request's bill. Resolves when a second host or the log has it, or
   * when neither took it in time.
   */
  async record(bill: Bill): Promise<void> {
    this.outbox.add(bill);
    if (await this.options.replicator.replicate(bill)) return;
    await this.appendWithTimeout(bill);
    if (!this.outbox.isPending(bill.id)) return;
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
    // The owners of the bills held here may be killed later and rely on these replicas.
    this.outbox.adoptOrphaned(() => true);
    await this.drainPending();
  }

  /** The fallback when no peer accepts a bill. */
  private async appendWithTimeout(bill: Bill): Promise<void> {
    const {clock, appendTimeoutMs} = this.options;
    const timerAbort = new AbortController();
    await Promise.race([
      this.append([bill]),
      sleep(clock, appendTimeoutMs, timerAbort.signal),
    ]);
    timerAbort.abort();
  }

  /** Appends the remaining bills or hands them to a peer before the process ends; gives up after `shutdownTimeoutMs`. */
  private async drainPending(): Promise<void> {
    const {clock, shutdownTimeoutMs, replicator, logger} = this.options;
    const deadline = clock.now() + shutdownTimeoutMs;
    for (;;) {
      await this.flush();
      const remaining = this.outbox.listPending();
      if (remaining.length === 0) return;
      if (await replicator.handOff(remaining)) {
        logger.info('bills handed to a peer', {bills: remaining.length});
        return;
      }
      if (clock.now() >= deadline) {
        logger.error('bills lost: neither the log nor a peer took them', {
          bills: remaining.length,
        });
        return;
      }
      await sleep(clock, SHUTDOWN_RETRY_MS);
    }
  }

  private async run(): Promise<void> {
    const {clock, random, flushIntervalMs} = this.options;
    while (!this.stopping.signal.aborted) {
      await sleep(clock, jitter(random, flushIntervalMs), this.stopping.signal);
      if (!this.stopping.signal.aborted) await this.flush();
    }
  }

  private async flush(): Promise<void> {
    this.adoptOrphans();
    const bills = this.outbox.listPending().slice(0, MAX_BATCH_SIZE);
    if (bills.length > 0) await this.append(bills);
  }

  private async append(bills: readonly Bill[]): Promise<void> {
    const {log, sealer, identity, replicator, logger} = this.options;
    const value = sealer.seal({type: 'bills', host: identity.id, bills});
    try {
      const offset = await log.append(BILLS_STREAM, [value]);
      const page = await log.read(BILLS_STREAM, offset, {waitMs: 0});
      const ids = page.records
        .filter(record => record.value === value)
        .flatMap(() => bills.map(bill => bill.id));
      this.outbox.confirm(ids);
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
    const adoptBefore = clock.now() - adoptAfterMs;
    const adopted = this.outbox.adoptOrphaned((owner, boot, heldAt) => {
      const currentBoot = this.findBoot(owner);
      return currentBoot === undefined
        ? heldAt < adoptBefore
        : currentBoot !== boot;
    });
    if (adopted > 0)
      logger.info('bills of a process that is gone adopted', {bills: adopted});
  }

  /** The boot id of a host's live process, in any place; undefined when the membership does not list the host. */
  private findBoot(host: string): string | undefined {
    return this.options.membership
      .listAllHosts()
      .find(entry => entry.id === host)?.boot;
  }

  private registerMethods(): void {
    const {methods} = this.options;
    const holdParams = z.strictObject({
      owner: z.string(),
      boot: z.string(),
      bills: z.array(Bill),
    });
    methods.register(
      billMethods.hold,
      holdParams,
      ({owner, boot, bills}) =>
        !this.isClosed &&
        bills.every(bill =>
          this.outbox.holdForPeer(bill, owner, boot, this.options.clock.now()),
        ),
    );
    methods.register(
      billMethods.settled,
      z.strictObject({ids: z.array(z.string())}),
      ({ids}) => {
        this.outbox.confirm(ids);
        return true;
      },
    );
    methods.register(
      billMethods.adopt,
      z.strictObject({bills: z.array(Bill)}),
      ({bills}) => {
        if (this.isClosed) return false;
        bills.forEach(bill => this.outbox.add(bill));
        return true;
      },
    );
  }
}
