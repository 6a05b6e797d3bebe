import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {BillRecorder} from './bill_recorder.js';
import {BillReplicator} from './bill_replicator.js';

const billingSection = {
  name: 'billing',
  shape: z.strictObject({
    /** How often pending bills are appended to the log. */
    flush: fields.duration('3s'),
    /** Bills, own and held for peers, that may wait to be appended; at this number new work is refused. */
    waiting: fields.number(200_000),
    /** How long an answer waits for the append when no peer accepts its bill. */
    'append-wait': fields.duration('1s'),
    /** How long shutdown tries to append the remaining bills or to hand them to a peer. */
    'stop-wait': fields.duration('30s'),
    /** How long a holder keeps the bills of a process that the membership does not list before it adopts them. */
    'adopt-after': fields.duration('20s'),
    /** Timeout of the call that replicates bills to a peer. */
    'hold-timeout': fields.duration('500ms'),
  }),
};

const billingPlugin: Plugin = {
  name: 'billing',
  sections: [billingSection],
  install(container, settings) {
    const section = settings.one(billingSection);
    const random = container.get(tokens.random);
    const logger = container.get(tokens.logger);
    const identity = container.get(daemonTokens.hostIdentity);
    const membership = container.get(daemonTokens.membership);
    const replicator = new BillReplicator({
      random,
      logger,
      identity,
      membership,
      client: container.get(daemonTokens.peerClient),
      timeoutMs: section['hold-timeout'],
    });
    const recorder = new BillRecorder({
      random,
      logger,
      identity,
      membership,
      replicator,
      clock: container.get(tokens.clock),
      metrics: container.get(tokens.metrics),
      log: container.get(daemonTokens.log),
      sealer: container.get(daemonTokens.sealers).records,
      methods: container.get(daemonTokens.peerMethods),
      flushIntervalMs: section.flush,
      appendTimeoutMs: section['append-wait'],
      shutdownTimeoutMs: section['stop-wait'],
      adoptAfterMs: section['adopt-after'],
      maxPending: section.waiting,
    });
    container.bind(daemonTokens.billRecorder).toConstantValue(recorder);
    container.bind(tokens.service).toConstantValue(recorder);
  },
};

pluginRegistry.register(billingPlugin);
