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
import {CallerDesk} from './caller_desk.js';
import {CallerDoor} from './caller_door.js';
import {CompletionHandler} from './completions/completion_handler.js';
import {CompletionService} from './completions/completion_service.js';
import {DurationBook} from './completions/duration_book.js';
import {LegRunner} from './completions/leg_runner.js';
import {ServiceCaller} from './services/service_caller.js';
import {AnswerHome} from './tickets/answer_home.js';
import {ClaimKeeper} from './tickets/claim_keeper.js';
import {KeyClaims} from './tickets/key_claims.js';
import {KeyedAnswers} from './tickets/keyed_answers.js';
import {Successors} from './tickets/successors.js';
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
    const legRunner = new LegRunner({
      clock,
      random,
      logger,
      metrics,
      tracing,
      store,
      membership,
      staleness,
      pool: container.get(daemonTokens.runnerPool),
      attemptsMost: callers.attempts,
    });
    const completionService = new CompletionService({
      clock,
      random,
      tracing,
      store,
      membership,
      staleness,
      pool: container.get(daemonTokens.runnerPool),
      legRunner,
      bills,
      cascade: cascadeOf(cascade.policy, random),
      durations: new DurationBook(),
      ratings: container.get(daemonTokens.ratings),
      evidence: container.get(daemonTokens.evidence),
      sessions: seals.sessions,
      ratingWaitMs: cascade['rating-wait'],
      ratingSample: cascade['rating-sample'],
    });
    const completions = new CompletionHandler({
      clock,
      store,
      sessions: seals.sessions,
      service: completionService,
    });
    const services = new ServiceCaller({
      clock,
      random,
      logger,
      tracing,
      store,
      bills,
      pool: container.get(daemonTokens.servicePool),
      attemptsMost: callers.attempts,
      collectMost: callers['service-collect'],
      deadlineMs: callers['service-deadline'],
    });
    const dispatcher = new CallDispatcher({
      clock,
      store,
      completions,
      services,
    });
    const home = new AnswerHome({
      clock,
      dispatcher,
      keepMs: tickets.keep,
      bytesMost: tickets.memory,
    });
    const createKeeper = (place: string) =>
      new ClaimKeeper({
        clock,
        random,
        logger,
        identity,
        place,
        log: container.get(daemonTokens.log),
        seal: seals.records,
        windowMs: tickets.window,
        pollMs: tickets['claim-poll'],
        timeoutMs: tickets['claim-timeout'],
      });
    const claims = createKeeper(identity.place);
    const vacantClaims = new VacantPlaceClaims({createKeeper});
    metrics.observe(
      'claims_kept',
      "Callers' own keys that are claimed in this place.",
      () => claims.size,
    );
    const successors = new Successors({
      logger,
      identity,
      membership,
      client,
      methods,
      memory: home.memory,
    });
    const keyed = new KeyedAnswers({
      clock,
      logger,
      tracing,
      identity,
      store,
      membership,
      client,
      methods,
      home,
      claims: new KeyClaims({
        identity,
        membership,
        client,
        home,
        claims,
        vacantClaims,
      }),
      successors,
      dispatcher,
      seal: seals.tickets,
      ticketLifeMs: tickets.life,
      forwardMs: callers['service-deadline'],
    });
    const desk = new CallerDesk({
      store,
      dispatcher,
      keyed,
      leaving: container.get(daemonTokens.leavingState),
      limits: container.get(daemonTokens.workspaceLimits),
    });
    container.bind(daemonTokens.callerDesk).toConstantValue(desk);
    const door = new CallerDoor({
      desk,
      clock,
      logger,
      metrics,
      tracing,
      store,
      endpoint: callers.listen,
      leaving: container.get(daemonTokens.leavingState),
      bodyMost: callers['body-limit'],
      maxHeaderBytes: callers['header-limit'],
      maxConnections: callers.connections,
      headersTimeoutMs: callers['headers-timeout'],
      requestTimeoutMs: callers['request-timeout'],
      drainMs: callers.drain,
    });
    for (const service of [claims, vacantClaims, keyed, door])
      container.bind(tokens.service).toConstantValue(service);
  },
};

function cascadeOf(policy: string, random: RandomSource): CascadePolicy {
  if (policy === 'strong-only') return new StrongestModelOnly();
  if (policy === 'cheap-only') return new CheapestModelOnly();
  return new LearnedCascade({random});
}

pluginRegistry.register(callersPlugin);
