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

/** Settings of the configuration that is read from the log. */
export const configurationSection = {
  name: 'configuration',
  shape: z.strictObject({
    /** A JSON file with the initial configuration; appended when the log has never held a record. */
    seed: z.string().optional(),
    /** Long-poll timeout of one read of the log. */
    poll: fields.duration('3s'),
    /** Maximum age of the newest snapshot; has to be well within the log's retention. */
    'snapshot-every': fields.duration('10m'),
    /** Maximum age of the configuration; above it the host is stale and counts as cut off. */
    'fresh-for': fields.duration('15s'),
    /** How long a host with a stale configuration waits for a read of the log before it counts as cut off. */
    'refresh-timeout': fields.duration('700ms'),
    /** Minimum delay between a failed refresh and the next one. */
    'refresh-pause': fields.duration('2s'),
    /** How long a confirmation waits for the verdict on its intent. */
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
    const sealer = container.get(daemonTokens.sealers).records;
    const freshness = container.get(daemonTokens.freshness);
    const membership = container.get(daemonTokens.membership);
    const localHostState = container.get(daemonTokens.localHostState);
    const store = new ConfigurationStore(clock);
    const snapshotWriter = new SnapshotWriter({
      clock,
      random,
      logger,
      log,
      sealer,
      store,
      maxAgeMs: section['snapshot-every'],
    });
    const follower = new ConfigurationFollower({
      clock,
      random,
      logger,
      metrics,
      log,
      sealer,
      store,
      freshness,
      pollMs: section.poll,
      seed: section.seed ? readSeed(section.seed) : undefined,
      onSnapshot: () => snapshotWriter.recordSnapshot(),
    });
    const fetcher = new ConfigurationFetcher({
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
    localHostState.addContributor(() => ({offset: store.current.offset}));
    store.subscribe(() =>
      membership.mergeState(localHostState.createState(), true),
    );
    container.bind(daemonTokens.configurationStore).toConstantValue(store);
    container.bind(daemonTokens.stalenessGuard).toConstantValue(
      new StalenessGuard({
        clock,
        freshness,
        staleAfterMs: section['fresh-for'],
        refreshers: [
          () => follower.readOnce(section['refresh-timeout']),
          () => fetcher.fetchFromRandomPeer(),
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
        sealer,
        store,
        timeoutMs: section['verdict-timeout'],
      }),
    );
    for (const service of [follower, snapshotWriter, fetcher])
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
