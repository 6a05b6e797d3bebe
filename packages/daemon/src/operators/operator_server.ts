import {randomUUID} from 'node:crypto';
import type {LogFreshness, Membership} from '@bayspool/decisions';
import {
  Problem,
  ProblemKind,
  type Logger,
  type Metrics,
  type RequestPacer,
  type Service,
} from '@bayspool/kernel';
import express, {
  type Express,
  type NextFunction,
  type Request,
  type Response,
} from 'express';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import {createErrorResponse} from '../callers/create_error_response.js';
import {sendResponse} from '../callers/send_response.js';
import {createHealthRouter} from '../create_health_router.js';
import type {HostIdentity} from '../host/host_identity.js';
import {HttpServer} from '../http_server.js';
import type {LeavingState} from '../leaving/leaving_state.js';
import type {RunnerPool} from '../runners/runner_pool.js';
import {authenticateOperator} from './authenticate_operator.js';
import {createFleetStatus} from './create_fleet_status.js';
import {createIntentStatus} from './create_intent_status.js';
import type {OperatorKey} from './operator_key.js';
import type {IntentPlanner} from './intent_planner.js';

interface Options {
  readonly endpoint: string;
  readonly pacer: RequestPacer;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly identity: HostIdentity;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly freshness: LogFreshness;
  readonly leaving: LeavingState;
  readonly pool: RunnerPool;
  readonly planner: IntentPlanner;
  readonly keys: readonly OperatorKey[];
}

const MAX_BODY_SIZE = '1mb';
const MAX_CONNECTIONS = 500;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;

/** HTTP server on which operators submit intents and inspect the fleet. Callers' keys are not accepted here. */
export class OperatorServer implements Service {
  readonly name = 'operator door';
  private readonly server: HttpServer;

  constructor(private readonly options: Options) {
    this.server = new HttpServer({
      listener: this.createApp(),
      pacer: options.pacer,
      endpoint: options.endpoint,
      setting: '[operators] listen',
      maxConnections: MAX_CONNECTIONS,
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    });
  }

  async start(): Promise<void> {
    const address = await this.server.start();
    this.options.logger.info('listening', {door: 'operator', address});
  }

  async stop(): Promise<void> {
    const stopped = this.server.stop();
    this.server.destroy();
    await stopped;
  }

  private createApp(): Express {
    const {options} = this;
    const app = express();
    app.disable('x-powered-by');
    app.disable('etag');
    app.use(createHealthRouter(options));
    app.get('/metrics', async (_request, response) => {
      response
        .type('text/plain; version=0.0.4')
        .send(await options.metrics.registry.metrics());
    });
    app.use((request, response, next) =>
      this.authenticate(request, response, next),
    );
    app.use(express.json({limit: MAX_BODY_SIZE, strict: false}));
    this.addIntentRoutes(app);
    this.addStatusRoutes(app);
    app.use(() => {
      throw createNotFoundProblem('there is nothing at this path');
    });
    app.use(
      (
        error: Error,
        _request: Request,
        response: Response,
        _next: NextFunction,
      ) => {
        void sendResponse(
          response,
          createErrorResponse(translateBodyError(error), randomUUID()),
        );
      },
    );
    return app;
  }

  private authenticate(
    request: Request,
    response: Response,
    next: NextFunction,
  ): void {
    const operator = authenticateOperator(
      this.options.keys,
      request.headers.authorization,
    );
    if (operator === undefined) throw createUnauthorizedProblem();
    response.locals.operator = operator;
    next();
  }

  private addIntentRoutes(app: Express): void {
    const {planner, store, membership, logger} = this.options;
    app.post('/intents', (request, response) => {
      response.status(201).json(planner.plan(request.body));
    });
    app.post('/intents/confirm', async (request, response) => {
      const {operator} = response.locals;
      const confirmation = await planner.confirm(
        String(request.body?.plan ?? ''),
        operator,
      );
      logger.info('intent confirmed', {operator, ...confirmation});
      response.json(confirmation);
    });
    app.get('/intents', (_request, response) => {
      response.json({intents: [...store.current.verdicts].reverse()});
    });
    app.get('/intents/:id', (request, response) => {
      const verdict = store.findVerdict(request.params.id);
      if (!verdict)
        throw createNotFoundProblem(
          'no intent with this id was read from the log; it may still come',
        );
      response.json(
        createIntentStatus({config: store.current, membership, verdict}),
      );
    });
  }

  private addStatusRoutes(app: Express): void {
    const {identity, store, membership, freshness, pool} = this.options;
    app.get('/config', (_request, response) => {
      response.json(store.current);
    });
    app.get('/status', (_request, response) => {
      response.json(
        createFleetStatus({
          identity,
          config: store.current,
          membership,
          freshness,
          pool,
        }),
      );
    });
  }
}

function createUnauthorizedProblem(): Problem {
  return new Problem({
    kind: ProblemKind.UNAUTHORIZED,
    what: 'the operator key is missing or not known',
    remedy:
      'send Authorization: Bearer with a key whose hash is configured in a section [operator NAME]',
  });
}

function createNotFoundProblem(what: string): Problem {
  return new Problem({
    kind: ProblemKind.NOT_FOUND,
    what,
    remedy: 'see docs/operators/intents.md for the paths',
  });
}

function translateBodyError(error: Error & {status?: number}): unknown {
  if (
    error instanceof Problem ||
    error.status === undefined ||
    error.status >= 500
  )
    return error;
  return new Problem({
    kind:
      error.status === 413 ? ProblemKind.TOO_LARGE : ProblemKind.BAD_REQUEST,
    what: 'the body cannot be read as JSON',
    remedy:
      'send a JSON object of at most 1 MB with content-type application/json',
    cause: error,
  });
}
