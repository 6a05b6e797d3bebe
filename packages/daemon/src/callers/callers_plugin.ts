import {
  CheapestModelOnly,
  LearnedCascade,
  StrongestModelOnly,
  type CascadePolicy,
} from '@bayspool/decisions';
import {
  fields,
  pluginRegistry,
  tokens,
  type Plugin,
  type RandomSource,
} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {CallDispatcher} from './call_dispatcher.js';
import {AdmissionController} from './admission_controller.js';
import {CallerServer} from './caller_server.js';
import {CompletionHandler} from './completions/completion_handler.js';
import {CompletionService} from './completions/completion_service.js';
import {CompletionTimeEstimator} from './completions/completion_time_estimator.js';
import {CascadeLegRunner} from './completions/cascade_leg_runner.js';
import {ServiceCallHandler} from './services/service_call_handler.js';
import {KeyedCallRunner} from './tickets/keyed_call_runner.js';
import {ClaimLog} from './tickets/claim_log.js';
import {KeyClaimer} from './tickets/key_claimer.js';
import {KeyedCallRouter} from './tickets/keyed_call_router.js';
import {SuccessorRegistry} from './tickets/successor_registry.js';
import {VacantPlaceClaims} from './tickets/vacant_place_claims.js';

const sections = {
  callers: {
    name: 'callers',
    shape: z.strictObject({
      /** The address that the balancer passes callers to. */
      listen: fields.endpoint(),
      /** The largest body that is read. */
      'body-limit': fields.size('4MiB'),
      /** The largest headers that are read. */
      'header-limit': fields.size('16KiB'),
      /** Connections at once; more are refused. */
      connections: fields.number(10_000),
      /** Within which the headers must have come. */
      'headers-timeout': fields.duration('10s'),
      /** Within which the whole request must have come. */
      'request-timeout': fields.duration('30s'),
      /** How long a stop waits for running requests. */
      drain: fields.duration('10m'),
      /** Attempts at runners for one request at most. */
      attempts: fields.number(4),
      /** Used for plain services where the caller names no deadline. */
      'service-deadline': fields.duration('30s'),
      /** A plain service's answer up to this size is collected before it is passed on. */
      'service-collect': fields.size('1MiB'),
    }),
  },
  cascade: {
    name: 'cascade',
    shape: z.strictObject({
      /** Which models try a request: `learned`, or one of the baselines. */
      policy: z
        .enum(['learned', 'strong-only', 'cheap-only'])
        .default('learned'),
      /** How long a held answer waits for its rating. */
      'rating-wait': fields.duration('2s'),
      /** The part of answers handed in for rating when nothing asks for it, 0 to 1. */
      'rating-sample': fields.number(0.1),
    }),
  },
  tickets: {
    name: 'tickets',
    shape: z.strictObject({
      /** How long a ticket may be used. */
      life: fields.duration('10m'),
      /** How long the answer to a key is kept. */
      keep: fields.duration('15m'),
      /** The bytes that kept answers may hold together. */
      memory: fields.size('64MiB'),
      /** How long a caller's own key stays claimed; shorter than the log's retention. */
      window: fields.duration('6h'),
      /** How long a claim may take until it is read back. */
      'claim-timeout': fields.duration('5s'),
      /** How long one read of the claims waits. */
      'claim-poll': fields.duration('5s'),
    }),
  },
};

const callersPlugin: Plugin = {
  name: 'callers',
  sections: Object.values(sections),
  install(container, settings) {
    const callers = settings.one(sections.callers);
    const cascade = settings.one(sections.cascade);
    const tickets = settings.one(sections.tickets);
    const clock = container.get(tokens.clock);
    const random = container.get(tokens.random);
    const logger = container.get(tokens.logger);
    const metrics = container.get(tokens.metrics);
    const tracing = container.get(tokens.tracing);
    const identity = container.get(daemonTokens.hostIdentity);
    const seals = container.get(daemonTokens.sealers);
    const store = container.get(daemonTokens.configurationStore);
    const membership = container.get(daemonTokens.membership);
    const bills = container.get(daemonTokens.billRecorder);
    const client = container.get(daemonTokens.peerClient);
    const methods = container.get(daemonTokens.peerMethods);
    const staleness = container.get(daemonTokens.stalenessGuard);
    const legRunner = new CascadeLegRunner({
      clock,
      random,
      logger,
      metrics,
      tracing,
      store,
      membership,
      stalenessGuard: staleness,
      pool: container.get(daemonTokens.runnerPool),
      maxAttempts: callers.attempts,
    });
    const completionService = new CompletionService({
      clock,
      random,
      tracing,
      store,
      membership,
      stalenessGuard: staleness,
      pool: container.get(daemonTokens.runnerPool),
      legRunner,
      billRecorder: bills,
      cascadePolicy: createCascadePolicy(cascade.policy, random),
      completionTimes: new CompletionTimeEstimator(),
      ratingCollector: container.get(daemonTokens.ratingCollector),
      ratingTracker: container.get(daemonTokens.ratingTracker),
      sessionSealer: seals.sessions,
      ratingWaitMs: cascade['rating-wait'],
      ratingSampleRate: cascade['rating-sample'],
    });
    const completions = new CompletionHandler({
      clock,
      store,
      sessionSealer: seals.sessions,
      completionService: completionService,
    });
    const services = new ServiceCallHandler({
      clock,
      random,
      logger,
      tracing,
      store,
      billRecorder: bills,
      pool: container.get(daemonTokens.serviceRunnerPool),
      maxAttempts: callers.attempts,
      maxBufferedBytes: callers['service-collect'],
      defaultDeadlineMs: callers['service-deadline'],
    });
    const dispatcher = new CallDispatcher({
      clock,
      store,
      completionHandler: completions,
      serviceHandler: services,
    });
    const home = new KeyedCallRunner({
      clock,
      dispatcher,
      retentionMs: tickets.keep,
      maxCacheBytes: tickets.memory,
    });
    const createKeeper = (place: string) =>
      new ClaimLog({
        clock,
        random,
        logger,
        identity,
        place,
        log: container.get(daemonTokens.log),
        sealer: seals.records,
        claimTtlMs: tickets.window,
        longPollMs: tickets['claim-poll'],
        claimTimeoutMs: tickets['claim-timeout'],
      });
    const claims = createKeeper(identity.place);
    const vacantClaims = new VacantPlaceClaims({createClaimLog: createKeeper});
    metrics.observe(
      'claims_kept',
      "Callers' own keys that are claimed in this place.",
      () => claims.size,
    );
    const successors = new SuccessorRegistry({
      logger,
      identity,
      membership,
      client,
      methods,
      cache: home.cache,
    });
    const keyed = new KeyedCallRouter({
      clock,
      logger,
      tracing,
      identity,
      store,
      membership,
      client,
      methods,
      callRunner: home,
      keyClaimer: new KeyClaimer({
        identity,
        membership,
        client,
        callRunner: home,
        claimLog: claims,
        vacantPlaceClaims: vacantClaims,
      }),
      successors,
      dispatcher,
      ticketSealer: seals.tickets,
      ticketTtlMs: tickets.life,
      defaultForwardTimeoutMs: callers['service-deadline'],
    });
    const desk = new AdmissionController({
      store,
      dispatcher,
      keyedCallRouter: keyed,
      leaving: container.get(daemonTokens.leavingState),
      rateLimiter: container.get(daemonTokens.workspaceLimits),
    });
    container.bind(daemonTokens.admissionController).toConstantValue(desk);
    const door = new CallerServer({
      admissionController: desk,
      clock,
      logger,
      metrics,
      tracing,
      store,
      endpoint: callers.listen,
      leaving: container.get(daemonTokens.leavingState),
      maxBodyBytes: callers['body-limit'],
      maxHeaderBytes: callers['header-limit'],
      maxConnections: callers.connections,
      headersTimeoutMs: callers['headers-timeout'],
      requestTimeoutMs: callers['request-timeout'],
      drainTimeoutMs: callers.drain,
    });
    for (const service of [claims, vacantClaims, keyed, door])
      container.bind(tokens.service).toConstantValue(service);
  },
};

function createCascadePolicy(
  policy: string,
  random: RandomSource,
): CascadePolicy {
  if (policy === 'strong-only') return new StrongestModelOnly();
  if (policy === 'cheap-only') return new CheapestModelOnly();
  return new LearnedCascade({random});
}

pluginRegistry.register(callersPlugin);
