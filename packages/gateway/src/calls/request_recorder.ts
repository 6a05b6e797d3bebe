import type {IncomingMessage} from 'node:http';
import type {Clock} from '@bayspool/kernel';
import type {ConfigurationBelief} from '../beliefs/configuration_belief.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import type {LocalResponse} from './local_response.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  readonly configuration: ConfigurationBelief;
}

/** Labels of requests that no route is counted for. */
const NO_ROUTE = {route: '', kind: ''};
/** Why bytes were refused that are no request. */
const MALFORMED = 'request not understood';
/** Why a call ended whose caller left before its body was whole. */
const BODY_INCOMPLETE = 'body broke off';

/** Log entries and metrics of requests that come in: accepted, refused or broken off. */
export class RequestRecorder {
  constructor(private readonly options: Options) {}

  /** Records a request that is handed on. */
  recordAccepted(call: IncomingCall): void {
    const {log, configuration: belief} = this.options;
    log.write('request_accepted', {
      request: call.id,
      route: call.route.name,
      kind: call.route.kind,
      workspace: call.workspace,
      fingerprint: call.fingerprint,
      session: call.session,
      tokens: call.prompt?.tokens,
      configuration: belief.current?.version ?? 0,
      configurationAgeMs: Math.round(belief.ageMs),
      deadlineMs: Math.round(call.deadlineAt - call.acceptedAt),
      targetMs: call.route.latencyTargetMs,
    });
  }

  /** Records a request that was answered by a refusal. */
  recordRefused(
    request: IncomingMessage,
    {status, reason, retryAfterMs}: LocalResponse,
  ): void {
    const {log, configuration: belief, metrics} = this.options;
    metrics.requests.inc({...NO_ROUTE, outcome: 'refused', reason});
    log.write('request_refused', {
      request: this.readRequestId(request),
      status,
      reason,
      retryAfterMs,
      configuration: belief.current?.version,
      configurationAgeMs: Math.round(belief.ageMs),
    });
  }

  /** Records bytes that are no request, and were refused as such. */
  recordMalformed(status: number, cause: string): void {
    const {log, metrics} = this.options;
    metrics.requests.inc({...NO_ROUTE, outcome: 'refused', reason: MALFORMED});
    log.write('request_refused', {
      request: '',
      status,
      reason: `${MALFORMED}: ${cause}`,
    });
  }

  /** Records that the caller left before its request was whole: nothing was sent to a runner. */
  recordIncompleteBody(request: IncomingMessage, acceptedAt: number): void {
    const {clock, log, metrics} = this.options;
    metrics.requests.inc({
      ...NO_ROUTE,
      outcome: 'left',
      reason: BODY_INCOMPLETE,
    });
    log.write('caller_left', {
      request: this.readRequestId(request),
      attempts: 0,
      reason: BODY_INCOMPLETE,
      forMs: Math.round(clock.now() - acceptedAt),
    });
  }

  private readRequestId({headers}: IncomingMessage): string {
    return String(headers[this.options.headerNames.requestId] ?? '');
  }
}
