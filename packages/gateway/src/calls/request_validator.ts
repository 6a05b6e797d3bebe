import type {IncomingMessage} from 'node:http';
import type {
  CallConfiguration,
  CallRoute,
  ApiKeyOwner,
} from '@bayspool/decisions/calls';
import type {RandomSource} from '@bayspool/kernel';
import type {ActiveConfiguration} from '../discovery/active_configuration.js';
import type {ValidatedRequest} from './validated_request.js';
import type {HeaderNames} from './header_names.js';
import type {LocalResponse} from './local_response.js';
import {chooseRetryAfterMs} from './choose_retry_after_ms.js';

interface Options {
  readonly random: RandomSource;
  readonly headerNames: HeaderNames;
  readonly configuration: ActiveConfiguration;
  /** Maximum age of the configuration at which API keys are still accepted, in ms. */
  readonly maxKeyAgeMs: () => number;
  /** Maximum age of the configuration at which an unknown route or key is rejected for good, in ms. */
  readonly maxDenialAgeMs: () => number;
  /** Size of the header lines of a request as they were sent, in bytes; undefined if it is not known. */
  readonly headerBytesOf: (request: IncomingMessage) => number | undefined;
  /** Whether a request that is read now may have been sent before the current configuration was. */
  readonly mayPredateConfiguration: () => boolean;
}

/** Statuses of rejected requests. */
const STATUS = {
  BAD_REQUEST: 400,
  UNAUTHORIZED: 401,
  NOT_FOUND: 404,
  MISDIRECTED: 421,
  HEADERS_TOO_LARGE: 431,
  UNAVAILABLE: 503,
};
/** Header value by which a caller leaves the choice of the model to the gateway. */
const ANY_MODEL = '*';
/** Bytes of a header line besides its name and value (`: ` and CRLF), divided between the two. */
const SEPARATOR_BYTES = 2;

/** Decides from the headers of a request whether it may run. */
export class RequestValidator {
  constructor(private readonly options: Options) {}

  /** Returns the route and the key's owner, or the response that rejects the request; it has not run then. */
  validate(request: IncomingMessage): ValidatedRequest | LocalResponse {
    const configuration = this.options.configuration.current;
    if (!configuration) return this.rejectForNow('no configuration yet');
    const malformed = this.checkHeaders(request, configuration);
    if (malformed) return malformed;
    const route = this.findRoute(request);
    if (!route) return this.rejectUnknown(STATUS.NOT_FOUND, 'no route');
    const keyOwner = this.findKeyOwner(request, configuration);
    const unknown = this.checkKey(configuration, route, keyOwner);
    if (unknown) return unknown;
    if (!this.leavesModelOpen(request, route))
      return {
        status: STATUS.MISDIRECTED,
        reason: 'the model must be left open',
      };
    return {route, keyOwner};
  }

  private checkHeaders(
    request: IncomingMessage,
    {limits}: CallConfiguration,
  ): LocalResponse | undefined {
    const {headerBytesOf} = this.options;
    const headerBytes = headerBytesOf(request) ?? countHeaderBytes(request);
    if (headerBytes > limits.headerBytes)
      return {status: STATUS.HEADERS_TOO_LARGE, reason: 'headers too large'};
    const id = request.headers[this.options.headerNames.requestId];
    if (typeof id !== 'string' || id.includes(','))
      return {status: STATUS.BAD_REQUEST, reason: 'one request id is needed'};
    return undefined;
  }

  private findRoute({headers, url}: IncomingMessage): CallRoute | undefined {
    return this.options.configuration.routes.find(
      headers.host ?? '',
      url ?? '',
    );
  }

  private findKeyOwner(
    {headers}: IncomingMessage,
    {keys}: CallConfiguration,
  ): ApiKeyOwner | undefined {
    const key = headers[this.options.headerNames.apiKey];
    return typeof key === 'string' ? keys?.get(key) : undefined;
  }

  private checkKey(
    {keys}: CallConfiguration,
    route: CallRoute,
    keyOwner: ApiKeyOwner | undefined,
  ): LocalResponse | undefined {
    const {configuration, maxKeyAgeMs, mayPredateConfiguration} = this.options;
    if (!keys || route.isPublic) return undefined;
    // The request may have waited here unread since an earlier configuration, unknown to this host,
    // in which its key was revoked.
    if (mayPredateConfiguration())
      return this.rejectForNow('may be older than the configuration');
    if (configuration.ageMs > maxKeyAgeMs())
      return this.rejectForNow('configuration too old to trust keys');
    if (keyOwner) return undefined;
    return this.rejectUnknown(STATUS.UNAUTHORIZED, 'unknown key');
  }

  private leavesModelOpen(
    {headers}: IncomingMessage,
    {models}: CallRoute,
  ): boolean {
    return (
      models.length === 0 ||
      headers[this.options.headerNames.model] === ANY_MODEL
    );
  }

  /** Rejects what the configuration doesn't contain, but only for now if the configuration is outdated. */
  private rejectUnknown(status: number, reason: string): LocalResponse {
    const {configuration, maxDenialAgeMs} = this.options;
    if (configuration.ageMs <= maxDenialAgeMs()) return {status, reason};
    return this.rejectForNow(`${reason} in an old configuration`);
  }

  private rejectForNow(reason: string): LocalResponse {
    const retryAfterMs = Math.round(chooseRetryAfterMs(this.options.random));
    return {status: STATUS.UNAVAILABLE, reason, retryAfterMs};
  }
}

function countHeaderBytes({rawHeaders}: IncomingMessage): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length + SEPARATOR_BYTES,
    0,
  );
}
