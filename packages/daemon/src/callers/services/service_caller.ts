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
import {noRoomForBills} from '../no_room_for_bills.js';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {Grant} from '../../runners/grant.js';
import {GrantResult} from '../../runners/grant_result.js';
import type {ServicePool} from '../../runners/service_pool.js';
import type {CallerAnswer} from '../caller_answer.js';
import type {CallerCall} from '../caller_call.js';
import {callerHeaders} from '../caller_headers.js';
import {passedHeaders} from './passed_headers.js';
import {readServiceBody} from './read_service_body.js';
import {routeOf} from './route_of.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly tracing: Tracing;
  readonly store: ConfigurationStore;
  readonly pool: ServicePool;
  readonly bills: BillRecorder;
  /** Attempts at a call that may be repeated. */
  readonly attemptsMost: number;
  /** An answer up to this size is collected before it is passed on, in bytes. */
  readonly collectMost: number;
  /** Used where the caller names no deadline, in ms. */
  readonly deadlineMs: number;
}

/** What one call is about. */
interface ServiceCall {
  readonly call: CallerCall;
  readonly service: string;
  readonly route: Route;
  readonly request: ServiceRequest;
  readonly deadlineAt: number;
}

const PATH = /^\/services\/([a-z0-9][a-z0-9-]{0,62})(\/.*)?$/;
const BACKOFF_FIRST_MS = 10;
const BACKOFF_MOST_MS = 200;

/**
 * `ANY /services/<service>/<path>`. A call that may be repeated is tried again at
 * another runner; any other is sent once, and when it cannot be told whether it
 * arrived, the outcome is unknown.
 */
export class ServiceCaller {
  private readonly budget = new RetryBudget();

  constructor(private readonly options: Options) {}

  /** Whether the call must not be sent twice. */
  isOnce(call: CallerCall): boolean {
    const [service, path] = splitPath(call.path);
    return routeOf(this.options.store.current, service, call.method, path).once;
  }

  async handle(call: CallerCall): Promise<CallerAnswer> {
    const serviceCall = this.toServiceCall(call);
    if (!this.options.bills.hasCapacity()) throw noRoomForBills();
    const answer = await this.send(serviceCall);
    await this.options.bills.record({
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
        ...passedHeaders(answer.headers),
        [callerHeaders.requestId]: call.id,
        [callerHeaders.outcome]: Outcome.RAN,
        [callerHeaders.shouldRetry]: 'false',
      },
      body: answer.body,
    };
  }

  private toServiceCall(call: CallerCall): ServiceCall {
    const {store, clock, tracing} = this.options;
    const [service, path] = splitPath(call.path);
    const workspace = store.current.workspaces[call.workspace];
    if (!workspace.services.includes(service)) throw notAllowed(service);
    return {
      call,
      service,
      route: routeOf(store.current, service, call.method, path),
      deadlineAt: clock.now() + (call.deadlineMs ?? this.options.deadlineMs),
      request: {
        requestId: call.billId,
        method: call.method,
        path,
        headers: {
          ...passedHeaders(call.headers),
          ...tracing.inject(call.trace),
        },
        body: call.body,
      },
    };
  }

  private async send(
    serviceCall: ServiceCall,
  ): Promise<ServiceResponse<CallerAnswer['body']>> {
    const {clock, random, logger} = this.options;
    const {call, route} = serviceCall;
    const backoff = new Backoff({
      random,
      initialMs: BACKOFF_FIRST_MS,
      maxMs: BACKOFF_MOST_MS,
    });
    const avoid = new Set<string>();
    let mayHaveRun = false;
    this.budget.recordFirstAttempt();
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
          runner: grant.target.id,
          error: failure.message,
        });
        const repeatable = !route.once || !mayHaveRun;
        const inTime =
          attempt < this.options.attemptsMost &&
          clock.now() < serviceCall.deadlineAt &&
          !call.signal.aborted;
        if (!repeatable || !inTime || !this.budget.trySpend())
          throw givenUp(failure, mayHaveRun, route.once);
        avoid.add(grant.target.id);
      }
      await sleep(clock, backoff.nextDelayMs(), call.signal);
    }
  }

  private async acquire(
    serviceCall: ServiceCall,
    avoid: ReadonlySet<string>,
    mayHaveRun: boolean,
  ): Promise<Grant<ServiceRunner>> {
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
          crossing: workspace.crossing,
          prefixes: [],
          avoid,
          recheck: () => this.recheck(workspace, serviceCall.service),
        },
        serviceCall.call.signal,
      );
    } catch (error) {
      if (mayHaveRun && error instanceof Problem)
        throw new RequestFailure(error, Outcome.UNKNOWN);
      throw error;
    }
  }

  private recheck(workspace: Workspace, service: string): Problem | undefined {
    const allowed =
      this.options.store.current.workspaces[workspace.id]?.services.includes(
        service,
      );
    return allowed ? undefined : notAllowed(service);
  }

  private async attempt(
    serviceCall: ServiceCall,
    grant: Grant<ServiceRunner>,
  ): Promise<ServiceResponse<CallerAnswer['body']>> {
    const {clock, tracing, collectMost} = this.options;
    const {call, request, route, deadlineAt} = serviceCall;
    const span = tracing.start('attempt', call.trace, {
      runner: grant.target.id,
    });
    const timeout = timeoutSignal(clock, deadlineAt - clock.now());
    const signal = route.once
      ? timeout.signal
      : AbortSignal.any([call.signal, timeout.signal]);
    let result: GrantResult = GrantResult.FAILED;
    try {
      const answer: ServiceResponse<Readable> = await grant.target.call(
        request,
        signal,
      );
      const body = await readServiceBody(answer.body, collectMost);
      result = GrantResult.OK;
      return {status: answer.status, headers: answer.headers, body};
    } finally {
      timeout.cancel();
      grant.release(result);
      span.end();
    }
  }
}

function splitPath(path: string): [string, string] {
  const match = PATH.exec(path);
  if (!match) {
    throw new Problem({
      kind: ProblemKind.NOT_FOUND,
      what: 'the path names no service',
      remedy: 'use /services/<service>/<path>',
    });
  }
  return [match[1], match[2] ?? '/'];
}

function notAllowed(service: string): Problem {
  return new Problem({
    kind: ProblemKind.NOT_ALLOWED,
    what: `this workspace may not use service ${service}`,
    remedy: 'ask the operator to add the service to the workspace',
  });
}

function givenUp(
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
