import {
  planOrders,
  type PlannedOrder,
  type Runner,
  type WeightStore,
} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  timeoutSignal,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {Counter} from 'prom-client';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import type {HostIdentity} from '../host/host_identity.js';
import type {RunnerPool} from '../runners/runner_pool.js';
import type {BackendState} from '../runners/backend_state.js';
import type {PlaceLease} from './place_lease.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly identity: HostIdentity;
  readonly store: ConfigurationStore;
  readonly pool: RunnerPool;
  readonly lease: PlaceLease;
  readonly weights: WeightStore | undefined;
  /** How often the lease is renewed or requested and orders are planned, in ms. */
  readonly intervalMs: number;
  readonly orderTimeoutMs: number;
}

const MINUTE_MS = 60_000;
const MAX_REMEMBERED_ORDERS = 10_000;

/**
 * Sends orders to the runners of this place while this host holds the place's lease.
 * Orders are derived from the configuration and the runners' reports. Loads are rate
 * limited to this place's share of the weight store's rate.
 */
export class OrderDispatcher implements Service {
  readonly name = 'order keeper';
  private readonly stopping = new AbortController();
  private readonly ordersTotal: Counter<'desired' | 'result'>;
  /** Earliest time of the next load by the rate limit, on the local clock. */
  private nextLoadAt = -Infinity;
  private readonly lastSentAt = new Map<string, number>();
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    this.ordersTotal = options.metrics.counter(
      'orders_total',
      'Orders given to runners.',
      ['desired', 'result'],
    );
    const {lease} = options;
    options.metrics.observe(
      'lease_held',
      'Whether this host holds the lease of its place.',
      () => (lease.heldToken() === undefined ? 0 : 1),
    );
  }

  async start(): Promise<void> {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
    await this.options.lease.release();
  }

  private async run(): Promise<void> {
    const {clock, random, intervalMs, lease, logger} = this.options;
    while (!this.stopping.signal.aborted) {
      await sleep(clock, jitter(random, intervalMs), this.stopping.signal);
      if (this.stopping.signal.aborted) return;
      try {
        await lease.renewOrAcquire();
        if (lease.heldToken() !== undefined) await this.sendDueOrders();
      } catch (error) {
        logger.debug('lease not kept', {error: String(error)});
      }
    }
  }

  private async sendDueOrders(): Promise<void> {
    const {store, pool, identity} = this.options;
    const states = pool
      .listStates()
      .filter(
        state =>
          state.backend.place === identity.place &&
          state.lastReport !== undefined &&
          state.isHealthy(),
      );
    const inventories = states.map(state => ({
      id: state.backend.id,
      versions: state.lastReport!.versions,
      versionSlots: state.lastReport!.versionSlots,
      drained: Boolean(store.current.drained[`runner/${state.backend.id}`]),
    }));
    for (const order of planOrders(store.current, inventories)) {
      const state = states.find(
        candidate => candidate.backend.id === order.runner,
      )!;
      if (await this.reserveSend(order)) await this.sendOrder(order, state);
    }
  }

  /**
   * Whether an order is due: it was not sent within the last minute, and a load is
   * within the rate limit. Marks a due order as sent.
   */
  private async reserveSend(order: PlannedOrder): Promise<boolean> {
    const {clock} = this.options;
    const key = `${order.runner} ${order.version} ${order.desired}`;
    const sentAt = this.lastSentAt.get(key) ?? -Infinity;
    if (clock.now() - sentAt < MINUTE_MS) return false;
    if (order.desired === 'loaded') {
      if (clock.now() < this.nextLoadAt) return false;
      this.nextLoadAt = clock.now() + (await this.computeLoadSpacingMs());
    }
    this.lastSentAt.set(key, clock.now());
    if (this.lastSentAt.size > MAX_REMEMBERED_ORDERS) this.lastSentAt.clear();
    return true;
  }

  /** Computes the time between two loads of this place, so that all places together keep to the store's rate. */
  private async computeLoadSpacingMs(): Promise<number> {
    const {weights, store, orderTimeoutMs} = this.options;
    if (!weights) return 0;
    const places = Math.max(1, Object.keys(store.current.places).length);
    const rate = await weights.loadsPerMinute(
      timeoutSignal(this.options.clock, orderTimeoutMs).signal,
    );
    return (MINUTE_MS / rate) * places;
  }

  private async sendOrder(
    order: PlannedOrder,
    state: BackendState<Runner>,
  ): Promise<void> {
    const {lease, logger, orderTimeoutMs} = this.options;
    const fencingToken = lease.heldToken();
    if (fencingToken === undefined) return;
    const {version, desired} = order;
    try {
      await state.backend.sendOrder(
        {version, desired, fencingToken},
        timeoutSignal(this.options.clock, orderTimeoutMs).signal,
      );
      this.ordersTotal.inc({desired, result: 'ok'});
      logger.info('order given', {
        runner: order.runner,
        version,
        desired,
        fencingToken,
      });
    } catch (error) {
      this.ordersTotal.inc({desired, result: 'failed'});
      logger.warn('order failed', {
        runner: order.runner,
        version,
        desired,
        error: String(error),
      });
    }
  }
}
