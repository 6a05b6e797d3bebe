import type {IncomingMessage} from 'node:http';
import type {Clock} from '@bayspool/kernel';
import type {ActiveConfiguration} from '../discovery/active_configuration.js';
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
  readonly configuration: ActiveConfiguration;
}

/** Metric labels of requests without a route. */
const NO_ROUTE = {route: '', kind: ''};
/** Reason for bytes that don't parse as a request. */
const MALFORMED = 'request not understood';
/** Reason for a caller that disconnected before its request body was complete. */
const BODY_INCOMPLETE = 'body broke off';

/** Writes log entries and metrics of incoming requests: accepted, rejected or incomplete. */
export class RequestRecorder {
  constructor(private readonly options: Options) {}

  /** Records a request that is handed to the forwarder. */
  recordAccepted(call: IncomingCall): void {
    const {log, metrics, configuration} = this.options;
    const {relayOrigin, route} = call;
    if (relayOrigin)
      metrics.takenCalls.inc({route: route.name, peer: relayOrigin.host});
    log.write('request_accepted', {
      request: call.id,
      relayedBy: call.relayOrigin?.host,
      route: call.route.name,
      kind: call.route.kind,
      workspace: call.workspace,
      fingerprint: call.fingerprint,
      session: call.session,
      tokens: call.prompt?.tokens,
      configuration: configuration.current?.version ?? 0,
      configurationAgeMs: Math.round(configuration.ageMs),
      deadlineMs: Math.round(call.deadlineAt - call.acceptedAt),
      targetMs: call.route.latencyTargetMs,
    });
  }

  /** Records a request that was rejected. */
  recordRejected(
    request: IncomingMessage,
    {status, reason, retryAfterMs}: LocalResponse,
  ): void {
    const {log, configuration, metrics} = this.options;
    metrics.requests.inc({...NO_ROUTE, outcome: 'refused', reason});
    log.write('request_refused', {
      request: this.readRequestId(request),
      status,
      reason,
      retryAfterMs,
      configuration: configuration.current?.version,
      configurationAgeMs: Math.round(configuration.ageMs),
    });
  }

  /** Records bytes that were rejected because they don't parse as a request. */
  recordMalformed(status: number, cause: string): void {
    const {log, metrics} = this.options;
    metrics.requests.inc({...NO_ROUTE, outcome: 'refused', reason: MALFORMED});
    log.write('request_refused', {
      request: '',
      status,
      reason: `${MALFORMED}: ${cause}`,
    });
  }

  /** Records that the caller disconnected before its request was complete; nothing was sent to a runner. */
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
