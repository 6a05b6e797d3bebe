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
  /** Attempts at a call that may be repeated. */
  readonly maxAttempts: number;
  /** An answer up to this size is collected before it is passed on, in bytes. */
  readonly maxBufferedBytes: number;
  /** Used where the caller names no deadline, in ms. */
  readonly defaultDeadlineMs: number;
}

/** What one call is about. */
interface ServiceCall {
  readonly call: AuthenticatedCall;
  readonly service: string;
  readonly route: Route;
  readonly request: ServiceRequest;
  readonly deadlineAt: number;
}

const SERVICE_PATH = /^\/services\/([a-z0-9][a-z0-9-]{0,62})(\/.*)?$/;
const INITIAL_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 200;

/**
 * `ANY /services/<service>/<path>`. A call that may be repeated is tried again at
 * another runner; any other is sent once, and when it cannot be told whether it
 * arrived, the outcome is unknown.
 */
export class ServiceCallHandler {
  private readonly retryBudget = new RetryBudget();

  constructor(private readonly options: Options) {}

  /** Whether the call must not be sent twice. */
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
    const answer = await this.sendWithRetries(serviceCall);
    await this.options.billRecorder.record({
      type: 'bill',
      id: call.billId,
      workspace: call.workspace,
      task: `service ${serviceCall.service}`,
      legs: [],
      whole: true,
    });
    return {
      status: answer.status,
      headers: {
        ...filterForwardedHeaders(answer.headers),
        [callerHeaders.requestId]: call.id,
        [callerHeaders.outcome]: Outcome.RAN,
        [callerHeaders.shouldRetry]: 'false',
      },
      body: answer.body,
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
      initialMs: INITIAL_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    const avoid = new Set<string>();
    let mayHaveRun = false;
    this.retryBudget.recordFirstAttempt();
    for (let attempt = 1; ; attempt++) {
      const grant = await this.acquire(serviceCall, avoid, mayHaveRun);
      try {
        return await this.attempt(serviceCall, grant);
      } catch (error) {
        const failure =
          error instanceof RunnerFailure
            ? error
            : new RunnerFailure({message: String(error), mayHaveRun: true});
        mayHaveRun ||= failure.mayHaveRun;
        logger.info('attempt failed', {
          requestId: call.id,
          runner: grant.backend.id,
          error: failure.message,
        });
        const repeatable = !route.once || !mayHaveRun;
        const inTime =
          attempt < this.options.maxAttempts &&
          clock.now() < serviceCall.deadlineAt &&
          !call.signal.aborted;
        if (!repeatable || !inTime || !this.retryBudget.trySpend())
          throw createFinalFailure(failure, mayHaveRun, route.once);
        avoid.add(grant.backend.id);
      }
      await sleep(clock, backoff.nextDelayMs(), call.signal);
    }
  }

  private async acquire(
    serviceCall: ServiceCall,
    avoid: ReadonlySet<string>,
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
          avoidedIds: avoid,
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
    grant: SlotReservation<ServiceRunner>,
  ): Promise<ServiceResponse<CallResponse['body']>> {
    const {clock, tracing, maxBufferedBytes: collectMost} = this.options;
    const {call, request, route, deadlineAt} = serviceCall;
    const span = tracing.start('attempt', call.trace, {
      runner: grant.backend.id,
    });
    const timeout = timeoutSignal(clock, deadlineAt - clock.now());
    const signal = route.once
      ? timeout.signal
      : AbortSignal.any([call.signal, timeout.signal]);
    let result: AttemptResult = AttemptResult.FAILED;
    try {
      const answer: ServiceResponse<Readable> = await grant.backend.call(
        request,
        signal,
      );
      const body = await bufferServiceBody(answer.body, collectMost);
      result = AttemptResult.OK;
      return {status: answer.status, headers: answer.headers, body};
    } finally {
      timeout.cancel();
      grant.release(result);
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
