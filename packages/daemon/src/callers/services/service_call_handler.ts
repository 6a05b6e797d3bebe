import type {Readable} from 'node:stream';
import {
  Backoff,
  Outcome,
  resolveServingPlace,
  RequestFailure,
  RetryBudget,
  RunnerFailure,
  type ServiceRunner,
  type Route,
  type ServiceResponse,
  type ServiceRequest,
  type Workspace,
} from '@bayspool/decisions';
import {
  Problem,
  ProblemKind,
  sleep,
  timeoutSignal,
  type Clock,
  type Logger,
  type RandomSource,
  type Tracing,
} from '@bayspool/kernel';
import type {BillRecorder} from '../../billing/bill_recorder.js';
import {createBillBacklogProblem} from '../create_bill_backlog_problem.js';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {SlotReservation} from '../../runners/slot_reservation.js';
import {AttemptResult} from '../../runners/attempt_result.js';
import type {ServiceRunnerPool} from '../../runners/service_runner_pool.js';
import type {CallResponse} from '../call_response.js';
import type {AuthenticatedCall} from '../authenticated_call.js';
import {callerHeaders} from '../caller_headers.js';
import {filterForwardedHeaders} from './filter_forwarded_headers.js';
import {bufferServiceBody} from './buffer_service_body.js';
import {findServiceRoute} from './find_service_route.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly tracing: Tracing;
  readonly store: ConfigurationStore;
  readonly pool: ServiceRunnerPool;
  readonly billRecorder: BillRecorder;
  /** The maximum number of attempts at a retryable call. */
  readonly maxAttempts: number;
  /** Responses up to this size are buffered before they are forwarded, in bytes. */
  readonly maxBufferedBytes: number;
  /** The deadline where the caller sets none, in ms. */
  readonly defaultDeadlineMs: number;
}

/** A call with its service, route and deadline. */
interface ServiceCall {
  readonly call: AuthenticatedCall;
  readonly service: string;
  readonly route: Route;
  readonly request: ServiceRequest;
  readonly deadlineAt: number;
}

const SERVICE_PATH = /^\/services\/([a-z0-9][a-z0-9-]{0,62})(\/.*)?$/;
const MIN_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 200;

/**
 * Handles `ANY /services/<service>/<path>`. A retryable call is retried on another
 * runner; any other is sent again only while it is known not to have run, and is
 * otherwise reported with an unknown outcome.
 */
export class ServiceCallHandler {
  private readonly retryBudget = new RetryBudget();

  constructor(private readonly options: Options) {}

  /** Whether the call must run at most once. */
  isAtMostOnce(call: AuthenticatedCall): boolean {
    const [service, path] = splitPath(call.path);
    return findServiceRoute(
      this.options.store.current,
      service,
      call.method,
      path,
    ).once;
  }

  async handle(call: AuthenticatedCall): Promise<CallResponse> {
    const serviceCall = this.createServiceCall(call);
    if (!this.options.billRecorder.hasCapacity())
      throw createBillBacklogProblem();
    const response = await this.sendWithRetries(serviceCall);
    await this.options.billRecorder.record({
      type: 'bill',
      id: call.billId,
      workspace: call.workspace,
      task: `service ${serviceCall.service}`,
      legs: [],
      whole: true,
    });
    return {
      status: response.status,
      headers: {
        ...filterForwardedHeaders(response.headers),
        [callerHeaders.requestId]: call.id,
        [callerHeaders.outcome]: Outcome.RAN,
        [callerHeaders.shouldRetry]: 'false',
      },
      body: response.body,
    };
  }

  private createServiceCall(call: AuthenticatedCall): ServiceCall {
    const {store, clock, tracing} = this.options;
    const [service, path] = splitPath(call.path);
    const workspace = store.current.workspaces[call.workspace];
    if (!workspace.services.includes(service))
      throw createNotAllowedProblem(service);
    return {
      call,
      service,
      route: findServiceRoute(store.current, service, call.method, path),
      deadlineAt:
        clock.now() + (call.deadlineMs ?? this.options.defaultDeadlineMs),
      request: {
        requestId: call.billId,
        method: call.method,
        path,
        headers: {
          ...filterForwardedHeaders(call.headers),
          ...tracing.inject(call.trace),
        },
        body: call.body,
      },
    };
  }

  private async sendWithRetries(
    serviceCall: ServiceCall,
  ): Promise<ServiceResponse<CallResponse['body']>> {
    const {clock, random, logger} = this.options;
    const {call, route} = serviceCall;
    const backoff = new Backoff({
      random,
      initialMs: MIN_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    const failedIds = new Set<string>();
    let mayHaveRun = false;
    this.retryBudget.recordFirstAttempt();
    for (let attempt = 1; ; attempt++) {
      const reservation = await this.acquire(
        serviceCall,
        failedIds,
        mayHaveRun,
      );
      try {
        return await this.attempt(serviceCall, reservation);
      } catch (error) {
        const failure =
          error instanceof RunnerFailure
            ? error
            : new RunnerFailure({message: String(error), mayHaveRun: true});
        mayHaveRun ||= failure.mayHaveRun;
        logger.info('attempt failed', {
          requestId: call.id,
          runner: reservation.backend.id,
          error: failure.message,
        });
        const isRetryable = !route.once || !mayHaveRun;
        const mayTryAgain =
          attempt < this.options.maxAttempts &&
          clock.now() < serviceCall.deadlineAt &&
          !call.signal.aborted;
        if (!isRetryable || !mayTryAgain || !this.retryBudget.trySpend())
          throw createFinalFailure(failure, mayHaveRun, route.once);
        failedIds.add(reservation.backend.id);
      }
      await sleep(clock, backoff.nextDelayMs(), call.signal);
    }
  }

  private async acquire(
    serviceCall: ServiceCall,
    failedIds: ReadonlySet<string>,
    mayHaveRun: boolean,
  ): Promise<SlotReservation<ServiceRunner>> {
    const {store, pool} = this.options;
    const workspace = store.current.workspaces[serviceCall.call.workspace];
    const home = workspace.home;
    try {
      return await pool.acquire(
        {
          workspace: workspace.id,
          weight: workspace.weight,
          priority: serviceCall.route.priority,
          deadlineAt: serviceCall.deadlineAt,
          cost: 1,
          version: serviceCall.service,
          places: [
            ...new Set([resolveServingPlace(store.current, home), home]),
          ],
          allowsCrossing: workspace.crossing,
          prefixes: [],
          avoidedIds: failedIds,
          revalidate: () => this.revalidate(workspace, serviceCall.service),
        },
        serviceCall.call.signal,
      );
    } catch (error) {
      if (mayHaveRun && error instanceof Problem)
        throw new RequestFailure(error, Outcome.UNKNOWN);
      throw error;
    }
  }

  private revalidate(
    workspace: Workspace,
    service: string,
  ): Problem | undefined {
    const allowed =
      this.options.store.current.workspaces[workspace.id]?.services.includes(
        service,
      );
    return allowed ? undefined : createNotAllowedProblem(service);
  }

  private async attempt(
    serviceCall: ServiceCall,
    reservation: SlotReservation<ServiceRunner>,
  ): Promise<ServiceResponse<CallResponse['body']>> {
    const {clock, tracing, maxBufferedBytes} = this.options;
    const {call, request, route, deadlineAt} = serviceCall;
    const span = tracing.start('attempt', call.trace, {
      runner: reservation.backend.id,
    });
    const timeout = timeoutSignal(clock, deadlineAt - clock.now());
    const signal = route.once
      ? timeout.signal
      : AbortSignal.any([call.signal, timeout.signal]);
    let result: AttemptResult = AttemptResult.FAILED;
    try {
      const response: ServiceResponse<Readable> =
        await reservation.backend.call(request, signal);
      const body = await bufferServiceBody(response.body, maxBufferedBytes);
      result = AttemptResult.OK;
      return {status: response.status, headers: response.headers, body};
    } finally {
      timeout.cancel();
      reservation.release(result);
      span.end();
    }
  }
}

function splitPath(path: string): [string, string] {
  const match = SERVICE_PATH.exec(path);
  if (!match) {
    throw new Problem({
      kind: ProblemKind.NOT_FOUND,
      what: 'the path names no service',
      remedy: 'use /services/<service>/<path>',
    });
  }
  return [match[1], match[2] ?? '/'];
}

function createNotAllowedProblem(service: string): Problem {
  return new Problem({
    kind: ProblemKind.NOT_ALLOWED,
    what: `this workspace may not use service ${service}`,
    remedy: 'ask the operator to add the service to the workspace',
  });
}

function createFinalFailure(
  failure: RunnerFailure,
  mayHaveRun: boolean,
  once: boolean,
): RequestFailure {
  const problem = new Problem({
    kind:
      mayHaveRun && once
        ? ProblemKind.OUTCOME_UNKNOWN
        : ProblemKind.RUNNER_FAILED,
    what: failure.message,
    remedy:
      mayHaveRun && once
        ? 'find out at the service whether it ran before sending it again'
        : 'send the request again later',
    retryAfterMs: 1_000,
    cause: failure,
  });
  return new RequestFailure(
    problem,
    mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN,
  );
}
