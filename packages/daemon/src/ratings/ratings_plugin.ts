import {RatingCountGate, SequentialGate} from '@bayspool/decisions';
import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {VersionRatingTracker} from './version_rating_tracker.js';
import {RatingCollector} from './rating_collector.js';
import {VersionMonitor} from './version_monitor.js';

const ratingsSection = {
  name: 'ratings',
  shape: z.strictObject({
    /** How a roll-out is judged: `sequential` tests, `open` watches nothing. */
    gate: z.enum(['sequential', 'open']).default('sequential'),
    /** How often the evidence is looked at. */
    interval: fields.duration('500ms'),
    /** How long a step of a roll-out lasts at least. */
    'step-least': fields.duration('10s'),
    /** Whether stable versions are watched for turning bad. */
    'watch-stable': fields.flag(true),
    /** How long one read waits for a rating. */
    poll: fields.duration('5s'),
    /** A rating that did not come for this long counts as lost. */
    'lost-after': fields.duration('10m'),
    /** After this time a rating counts half in a pass probability. */
    'half-life': fields.duration('30m'),
  }),
};

const ratingsPlugin: Plugin = {
  name: 'ratings',
  sections: [ratingsSection],
  install(container, settings) {
    const section = settings.one(ratingsSection);
    const clock = container.get(tokens.clock);
    const random = container.get(tokens.random);
    const logger = container.get(tokens.logger);
    const metrics = container.get(tokens.metrics);
    const store = container.get(daemonTokens.configurationStore);
    const membership = container.get(daemonTokens.membership);
    const identity = container.get(daemonTokens.hostIdentity);
    const ownState = container.get(daemonTokens.localHostState);
    const evidence = new VersionRatingTracker({
      clock,
      store,
      membership,
      self: identity.id,
      lostAfterMs: section['lost-after'],
    });
    const book = new RatingCollector({
      clock,
      random,
      logger,
      metrics,
      ratingTracker: evidence,
      ratingService: container.isBound(daemonTokens.ratingService)
        ? container.get(daemonTokens.ratingService)
        : undefined,
      consumerId: `${identity.id}.${identity.boot}`,
      longPollMs: section.poll,
      halfLifeMs: section['half-life'],
      lostAfterMs: section['lost-after'],
    });
    const gate = new VersionMonitor({
      clock,
      random,
      logger,
      metrics,
      store,
      membership,
      self: identity.id,
      submitter: container.get(daemonTokens.intentSubmitter),
      rolloutGate:
        section.gate === 'open' ? new RatingCountGate() : new SequentialGate(),
      onHalt: () => void container.get(daemonTokens.gossip).runNow(),
      intervalMs: section.interval,
      minStepMs: section['step-least'],
      monitorsStable: section['watch-stable'],
    });
    ownState.addContributor(() => ({
      evidence: evidence.createSummary(),
      suspects: gate.listSuspects(),
    }));
    container.bind(daemonTokens.ratingCollector).toConstantValue(book);
    container.bind(daemonTokens.ratingTracker).toConstantValue(evidence);
    container.bind(tokens.service).toConstantValue(book);
    container.bind(tokens.service).toConstantValue(gate);
  },
};

pluginRegistry.register(ratingsPlugin);
