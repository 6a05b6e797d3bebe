import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {OrderDispatcher} from './order_dispatcher.js';
import {PlaceLease} from './place_lease.js';

const ordersSection = {
  name: 'orders',
  shape: z.strictObject({
    /** How often the lease is renewed or requested and orders are planned. */
    interval: fields.duration('2s'),
    /** TTL of the lease of a place. */
    lease: fields.duration('10s'),
    /** Timeout of one order to a runner. */
    timeout: fields.duration('3s'),
  }),
};

const ordersPlugin: Plugin = {
  name: 'orders',
  sections: [ordersSection],
  install(container, settings) {
    const section = settings.one(ordersSection);
    const clock = container.get(tokens.clock);
    const logger = container.get(tokens.logger);
    const identity = container.get(daemonTokens.hostIdentity);
    const lease = new PlaceLease({
      clock,
      logger,
      identity,
      log: container.get(daemonTokens.log),
      sealer: container.get(daemonTokens.sealers).records,
      ttlMs: section.lease,
    });
    container.bind(tokens.service).toConstantValue(
      new OrderDispatcher({
        clock,
        logger,
        identity,
        lease,
        random: container.get(tokens.random),
        metrics: container.get(tokens.metrics),
        store: container.get(daemonTokens.configurationStore),
        pool: container.get(daemonTokens.runnerPool),
        weights: container.isBound(daemonTokens.weights)
          ? container.get(daemonTokens.weights)
          : undefined,
        intervalMs: section.interval,
        orderTimeoutMs: section.timeout,
      }),
    );
  },
};

pluginRegistry.register(ordersPlugin);
