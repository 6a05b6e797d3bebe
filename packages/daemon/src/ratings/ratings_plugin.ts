import {RatingCountGate, SequentialGate} from '@bayspool/decisions';
import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {EvidenceBook} from './evidence_book.js';
import {RatingBook} from './rating_book.js';
import {RollOutGate} from './roll_out_gate.js';

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
    const evidence = new EvidenceBook({
      clock,
      store,
      membership,
      self: identity.id,
      lostAfterMs: section['lost-after'],
    });
    const book = new RatingBook({
      clock,
      random,
      logger,
      metrics,
      evidence,
      rating: container.isBound(daemonTokens.ratingService)
        ? container.get(daemonTokens.ratingService)
        : undefined,
      mailbox: `${identity.id}.${identity.boot}`,
      pollMs: section.poll,
      halfLifeMs: section['half-life'],
      lostAfterMs: section['lost-after'],
    });
    const gate = new RollOutGate({
      clock,
      random,
      logger,
      metrics,
      store,
      membership,
      self: identity.id,
      filer: container.get(daemonTokens.intentSubmitter),
      gate:
        section.gate === 'open' ? new RatingCountGate() : new SequentialGate(),
      onHalt: () => void container.get(daemonTokens.gossip).runNow(),
      intervalMs: section.interval,
      stepLeastMs: section['step-least'],
      watchStable: section['watch-stable'],
    });
    ownState.addContributor(() => ({
      evidence: evidence.summary(),
      suspects: gate.suspects(),
    }));
    container.bind(daemonTokens.ratings).toConstantValue(book);
    container.bind(daemonTokens.evidence).toConstantValue(evidence);
    container.bind(tokens.service).toConstantValue(book);
    container.bind(tokens.service).toConstantValue(gate);
  },
};

pluginRegistry.register(ratingsPlugin);
