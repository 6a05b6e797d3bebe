import {readFileSync} from 'node:fs';
import {Seed} from '@bayspool/decisions';
import {
  fields,
  pluginRegistry,
  Problem,
  ProblemKind,
  tokens,
  type Plugin,
} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {ConfigurationFetcher} from '../peers/configuration_fetcher.js';
import {peersSection} from '../peers/peers_plugin.js';
import {ConfigurationFollower} from './configuration_follower.js';
import {ConfigurationStore} from './configuration_store.js';
import {IntentSubmitter} from './intent_submitter.js';
import {StalenessGuard} from './staleness_guard.js';
import {SnapshotWriter} from './snapshot_writer.js';

/** Settings of the configuration that comes from the log. */
export const configurationSection = {
  name: 'configuration',
  shape: z.strictObject({
    /** A JSON file that is planted when the log has never held a record. */
    seed: z.string().optional(),
    /** How long one read of the log waits for a record. */
    poll: fields.duration('3s'),
    /** How old the newest snapshot may become; well inside the log's retention. */
    'snapshot-every': fields.duration('10m'),
    /** Past this age of the configuration the host counts as cut off from it. */
    'fresh-for': fields.duration('15s'),
    /** How long a host that finds its configuration old waits for a newer one before it counts as cut off. */
    'refresh-timeout': fields.duration('700ms'),
    /** How long it then goes on without asking again. */
    'refresh-pause': fields.duration('2s'),
    /** How long a confirmed intent's verdict is waited for. */
    'verdict-timeout': fields.duration('6s'),
  }),
};

const configurationPlugin: Plugin = {
  name: 'configuration',
  sections: [configurationSection],
  install(container, settings) {
    const section = settings.one(configurationSection);
    const clock = container.get(tokens.clock);
    const random = container.get(tokens.random);
    const logger = container.get(tokens.logger);
    const metrics = container.get(tokens.metrics);
    const log = container.get(daemonTokens.log);
    const seal = container.get(daemonTokens.sealers).records;
    const freshness = container.get(daemonTokens.freshness);
    const membership = container.get(daemonTokens.membership);
    const ownState = container.get(daemonTokens.localHostState);
    const store = new ConfigurationStore(clock);
    const snapshots = new SnapshotWriter({
      clock,
      random,
      logger,
      log,
      seal,
      store,
      maxAgeMs: section['snapshot-every'],
    });
    const follower = new ConfigurationFollower({
      clock,
      random,
      logger,
      metrics,
      log,
      seal,
      store,
      freshness,
      pollMs: section.poll,
      seed: section.seed ? readSeed(section.seed) : undefined,
      onSnapshot: () => snapshots.recordSnapshot(),
    });
    const catchUp = new ConfigurationFetcher({
      freshness,
      clock,
      random,
      logger,
      store,
      membership,
      client: container.get(daemonTokens.peerClient),
      methods: container.get(daemonTokens.peerMethods),
      seeds: settings.one(peersSection).seeds,
      applyState: state => follower.applyPeerState(state),
      onApplied: () => void container.get(daemonTokens.gossip).runNow(),
      intervalMs: settings.one(peersSection).interval,
    });
    ownState.addContributor(() => ({offset: store.current.offset}));
    store.subscribe(() => membership.mergeState(ownState.createState(), true));
    container.bind(daemonTokens.configurationStore).toConstantValue(store);
    container.bind(daemonTokens.stalenessGuard).toConstantValue(
      new StalenessGuard({
        clock,
        freshness,
        staleAfterMs: section['fresh-for'],
        refreshers: [
          () => follower.readOnce(section['refresh-timeout']),
          () => catchUp.fetchFromRandomPeer(),
        ],
        retryDelayMs: section['refresh-pause'],
      }),
    );
    container.bind(daemonTokens.intentSubmitter).toConstantValue(
      new IntentSubmitter({
        clock,
        random,
        logger,
        log,
        seal,
        store,
        timeoutMs: section['verdict-timeout'],
      }),
    );
    for (const service of [follower, snapshots, catchUp])
      container.bind(tokens.service).toConstantValue(service);
  },
};

function readSeed(file: string): Seed {
  try {
    return Seed.parse(JSON.parse(readFileSync(file, 'utf8')));
  } catch (error) {
    throw new Problem({
      kind: ProblemKind.SETTINGS,
      what: `the seed ${file} cannot be used: ${error instanceof z.ZodError ? z.prettifyError(error) : error}`,
      remedy: 'correct the file named at [configuration] seed',
      cause: error,
    });
  }
}

pluginRegistry.register(configurationPlugin);
