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
      /** The address that the load balancer forwards callers to. */
      listen: fields.endpoint(),
      /** The largest accepted body. */
      'body-limit': fields.size('4MiB'),
      /** The largest accepted size of the headers. */
      'header-limit': fields.size('16KiB'),
      /** How many connections may be open; further ones are rejected. */
      connections: fields.number(10_000),
      /** Timeout for receiving the headers. */
      'headers-timeout': fields.duration('10s'),
      /** Timeout for receiving the complete request. */
      'request-timeout': fields.duration('30s'),
      /** How long a shutdown waits for running requests. */
      drain: fields.duration('10m'),
      /** The maximum number of attempts at runners for one request. */
      attempts: fields.number(4),
      /** The deadline of calls to plain services where the caller sets none. */
      'service-deadline': fields.duration('30s'),
      /** Responses of plain services up to this size are buffered before they are forwarded. */
      'service-collect': fields.size('1MiB'),
    }),
  },
  cascade: {
    name: 'cascade',
    shape: z.strictObject({
      /** The cascade policy: `learned`, or one of the baselines. */
      policy: z
        .enum(['learned', 'strong-only', 'cheap-only'])
        .default('learned'),
      /** How long an answer is held back for its rating. */
      'rating-wait': fields.duration('2s'),
      /** The fraction of answers that are sampled for rating when no rating is required, 0 to 1. */
      'rating-sample': fields.number(0.1),
    }),
  },
  tickets: {
    name: 'tickets',
    shape: z.strictObject({
      /** How long a ticket is valid. */
      life: fields.duration('10m'),
      /** How long the response to a key is kept. */
      keep: fields.duration('15m'),
      /** The total size of the responses that are kept. */
      memory: fields.size('64MiB'),
      /** How long a claim on a caller's own key lasts; must be shorter than the log's retention. */
      window: fields.duration('6h'),
      /** Timeout for appending a claim and reading it back. */
      'claim-timeout': fields.duration('5s'),
      /** How long one long poll of the claims waits. */
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
    const sealers = container.get(daemonTokens.sealers);
    const store = container.get(daemonTokens.configurationStore);
    const membership = container.get(daemonTokens.membership);
    const billRecorder = container.get(daemonTokens.billRecorder);
    const client = container.get(daemonTokens.peerClient);
    const methods = container.get(daemonTokens.peerMethods);
    const stalenessGuard = container.get(daemonTokens.stalenessGuard);
    const legRunner = new CascadeLegRunner({
      clock,
      random,
      logger,
      metrics,
      tracing,
      store,
      membership,
      stalenessGuard,
      pool: container.get(daemonTokens.runnerPool),
      maxAttempts: callers.attempts,
    });
    const completionService = new CompletionService({
      clock,
      random,
      tracing,
      store,
      membership,
      stalenessGuard,
      pool: container.get(daemonTokens.runnerPool),
      legRunner,
      billRecorder,
      cascadePolicy: createCascadePolicy(cascade.policy, random),
      completionTimes: new CompletionTimeEstimator(),
      ratingCollector: container.get(daemonTokens.ratingCollector),
      ratingTracker: container.get(daemonTokens.ratingTracker),
      sessionSealer: sealers.sessions,
      ratingWaitMs: cascade['rating-wait'],
      ratingSampleRate: cascade['rating-sample'],
    });
    const completionHandler = new CompletionHandler({
      clock,
      store,
      sessionSealer: sealers.sessions,
      completionService,
    });
    const serviceHandler = new ServiceCallHandler({
      clock,
      random,
      logger,
      tracing,
      store,
      billRecorder,
      pool: container.get(daemonTokens.serviceRunnerPool),
      maxAttempts: callers.attempts,
      maxBufferedBytes: callers['service-collect'],
      defaultDeadlineMs: callers['service-deadline'],
    });
    const dispatcher = new CallDispatcher({
      clock,
      store,
      completionHandler,
      serviceHandler,
    });
    const callRunner = new KeyedCallRunner({
      clock,
      dispatcher,
      retentionMs: tickets.keep,
      maxCacheBytes: tickets.memory,
    });
    const createClaimLog = (place: string) =>
      new ClaimLog({
        clock,
        random,
        logger,
        identity,
        place,
        log: container.get(daemonTokens.log),
        sealer: sealers.records,
        claimTtlMs: tickets.window,
        longPollMs: tickets['claim-poll'],
        claimTimeoutMs: tickets['claim-timeout'],
      });
    const claimLog = createClaimLog(identity.place);
    const vacantPlaceClaims = new VacantPlaceClaims({createClaimLog});
    metrics.observe(
      'claims_kept',
      "Callers' own keys that are claimed in this place.",
      () => claimLog.size,
    );
    const successors = new SuccessorRegistry({
      logger,
      identity,
      membership,
      client,
      methods,
      cache: callRunner.cache,
    });
    const keyedCallRouter = new KeyedCallRouter({
      clock,
      logger,
      tracing,
      identity,
      store,
      membership,
      client,
      methods,
      callRunner,
      keyClaimer: new KeyClaimer({
        identity,
        membership,
        client,
        callRunner,
        claimLog,
        vacantPlaceClaims,
      }),
      successors,
      dispatcher,
      ticketSealer: sealers.tickets,
      ticketTtlMs: tickets.life,
      defaultForwardTimeoutMs: callers['service-deadline'],
    });
    const admissionController = new AdmissionController({
      store,
      dispatcher,
      keyedCallRouter,
      leaving: container.get(daemonTokens.leavingState),
      rateLimiter: container.get(daemonTokens.workspaceRateLimiter),
    });
    container
      .bind(daemonTokens.admissionController)
      .toConstantValue(admissionController);
    const server = new CallerServer({
      pacer: container.get(daemonTokens.requestPacer),
      admissionController,
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
    for (const service of [
      claimLog,
      vacantPlaceClaims,
      keyedCallRouter,
      server,
    ])
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
