import type {IncomingMessage} from 'node:http';
import type {Clock} from '@bayspool/kernel';
import type {ActiveConfiguration} from '../discovery/active_configuration.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {readRelayOrigin} from '../relay/read_relay_origin.js';
import type {RelayAdmission} from '../relay/relay_admission.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import type {LocalResponse} from './local_response.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  readonly configuration: ActiveConfiguration;
  /** Admission of relayed calls; absent if callers themselves send the requests. */
  readonly relayAdmission?: RelayAdmission;
}

/** Metric labels of requests without a route. */
const NO_ROUTE = {route: '', kind: ''};
/** Reason for bytes that don't parse as a request. */
const MALFORMED = 'request not understood';
/** Reason for a caller that disconnected before its request body was complete. */
const BODY_INCOMPLETE = 'body broke off';

/** Reason for a caller that disconnected before its request was handed to the forwarder. */
const LEFT_EARLY = 'left before the request was accepted';

/** Writes log entries and metrics of incoming requests: accepted, rejected or incomplete. */
export class RequestRecorder {
  constructor(private readonly options: Options) {}

  /** Records a request that is handed to the forwarder. */
  recordAccepted(call: IncomingCall): void {
    const {log, metrics, configuration} = this.options;
    const {relayOrigin, route} = call;
    if (relayOrigin) metrics.takenCalls.inc({route: route.name});
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
    const {log, configuration} = this.options;
    this.countWithoutRoute('refused', reason);
    log.write('request_refused', {
      request: this.readRequestId(request),
      relayedBy: this.findRelayingHost(request),
      status,
      reason,
      retryAfterMs,
      configuration: configuration.current?.version,
      configurationAgeMs: Math.round(configuration.ageMs),
    });
  }

  /** Records bytes that were rejected because they don't parse as a request. */
  recordMalformed(status: number, cause: string): void {
    const {log} = this.options;
    this.countWithoutRoute('refused', MALFORMED);
    log.write('request_refused', {
      request: '',
      status,
      reason: `${MALFORMED}: ${cause}`,
    });
  }

  /** Records that the caller disconnected before its request was complete; nothing was sent to a runner. */
  recordIncompleteBody(request: IncomingMessage, acceptedAt: number): void {
    this.recordDeparture(request, acceptedAt, BODY_INCOMPLETE);
  }

  /** Records that the caller had left when its complete request was read; nothing was sent to a runner. */
  recordLeft(request: IncomingMessage, acceptedAt: number): void {
    this.recordDeparture(request, acceptedAt, LEFT_EARLY);
  }

  private recordDeparture(
    request: IncomingMessage,
    acceptedAt: number,
    reason: string,
  ): void {
    const {clock, log} = this.options;
    this.countWithoutRoute('left', reason);
    log.write('caller_left', {
      request: this.readRequestId(request),
      relayedBy: this.findRelayingHost(request),
      attempts: 0,
      reason,
      forMs: Math.round(clock.now() - acceptedAt),
    });
  }

  /** Records that a response was given up, because its caller took nothing of it for too long. */
  recordUnread(request: IncomingMessage, unsentBytes: number): void {
    const {log, metrics} = this.options;
    metrics.unreadResponses.inc();
    log.write('response_unread', {
      request: this.readRequestId(request),
      relayedBy: this.findRelayingHost(request),
      unsentBytes,
    });
  }

  /** Records a response whose connection is closed because the process ends. */
  recordUnsent(request: IncomingMessage, unsentBytes: number): void {
    this.options.log.write('response_unsent', {
      request: this.readRequestId(request),
      relayedBy: this.findRelayingHost(request),
      unsentBytes,
    });
  }

  /** Records a request that is neither run nor answered. */
  recordIgnored(request: IncomingMessage): void {
    this.options.log.write('request_ignored', {
      request: this.readRequestId(request),
      relayedBy: this.findRelayingHost(request),
      reason: 'read behind a response that closes its connection',
    });
  }

  /** Counts a request that was not handed on; a relayed one is counted by the host whose caller sent it. */
  private countWithoutRoute(outcome: string, reason: string): void {
    const {metrics, relayAdmission} = this.options;
    if (relayAdmission) return;
    metrics.requests.inc({...NO_ROUTE, outcome, reason});
  }

  private findRelayingHost(request: IncomingMessage): string | undefined {
    if (!this.options.relayAdmission) return undefined;
    return readRelayOrigin(request).host;
  }

  private readRequestId({headers}: IncomingMessage): string {
    return String(headers[this.options.headerNames.requestId] ?? '');
  }
}
