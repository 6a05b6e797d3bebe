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
    /** How a rollout is evaluated: `sequential` uses sequential tests, `open` passes each step after a number of ratings, whatever they say. */
    gate: z.enum(['sequential', 'open']).default('sequential'),
    /** How often the ratings are evaluated. */
    interval: fields.duration('500ms'),
    /** The minimum duration of a rollout step. */
    'step-least': fields.duration('10s'),
    /** Whether stable versions are monitored for a drop in quality. */
    'watch-stable': fields.flag(true),
    /** How long one long poll waits for a rating. */
    poll: fields.duration('5s'),
    /** A rating that has not arrived after this time counts as lost. */
    'lost-after': fields.duration('10m'),
    /** The time after which the weight of a rating in the pass rate estimate has halved. */
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
    const ratingTracker = new VersionRatingTracker({
      clock,
      store,
      membership,
      self: identity.id,
      lostAfterMs: section['lost-after'],
    });
    const ratingCollector = new RatingCollector({
      clock,
      random,
      logger,
      metrics,
      ratingTracker,
      ratingService: container.isBound(daemonTokens.ratingService)
        ? container.get(daemonTokens.ratingService)
        : undefined,
      consumerId: `${identity.id}.${identity.boot}`,
      longPollMs: section.poll,
      halfLifeMs: section['half-life'],
      lostAfterMs: section['lost-after'],
    });
    const versionMonitor = new VersionMonitor({
      clock,
      random,
      logger,
      metrics,
      store,
      membership,
      self: identity.id,
      submitter: container.get(daemonTokens.intentSubmitter),
      versionGate:
        section.gate === 'open' ? new RatingCountGate() : new SequentialGate(),
      onHalt: () => void container.get(daemonTokens.gossip).runNow(),
      intervalMs: section.interval,
      minStepMs: section['step-least'],
      monitorsStable: section['watch-stable'],
    });
    ownState.addContributor(() => ({
      evidence: ratingTracker.createSummary(),
      suspects: versionMonitor.listSuspects(),
    }));
    container
      .bind(daemonTokens.ratingCollector)
      .toConstantValue(ratingCollector);
    container.bind(daemonTokens.ratingTracker).toConstantValue(ratingTracker);
    container.bind(tokens.service).toConstantValue(ratingCollector);
    container.bind(tokens.service).toConstantValue(versionMonitor);
  },
};

pluginRegistry.register(ratingsPlugin);
