import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {BillRecorder} from './bill_recorder.js';
import {BillReplicator} from './bill_replicator.js';

const billingSection = {
  name: 'billing',
  shape: z.strictObject({
    /** How often bills go to the log. */
    flush: fields.duration('3s'),
    /** Bills that may wait for the log; above it no new work is begun. */
    waiting: fields.number(200_000),
    /** How long an answer whose bill no host takes waits for the log. */
    'append-wait': fields.duration('1s'),
    /** How long a stop tries to place its bills in the log or at a peer. */
    'stop-wait': fields.duration('30s'),
    /** After this time the bills of a process that is not heard of are adopted by their holder. */
    'adopt-after': fields.duration('20s'),
    /** How long a peer may take to hold a bill. */
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
    const keeper = new BillRecorder({
      random,
      logger,
      identity,
      membership,
      replicator,
      clock: container.get(tokens.clock),
      metrics: container.get(tokens.metrics),
      log: container.get(daemonTokens.log),
      seal: container.get(daemonTokens.sealers).records,
      methods: container.get(daemonTokens.peerMethods),
      flushIntervalMs: section.flush,
      appendTimeoutMs: section['append-wait'],
      shutdownTimeoutMs: section['stop-wait'],
      adoptAfterMs: section['adopt-after'],
      maxPending: section.waiting,
    });
    container.bind(daemonTokens.billRecorder).toConstantValue(keeper);
    container.bind(tokens.service).toConstantValue(keeper);
  },
};

pluginRegistry.register(billingPlugin);
