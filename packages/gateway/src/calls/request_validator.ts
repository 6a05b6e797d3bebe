import type {IncomingMessage} from 'node:http';
import type {
  CallConfiguration,
  CallRoute,
  ApiKeyOwner,
} from '@bayspool/decisions/calls';
import type {RandomSource} from '@bayspool/kernel';
import type {ConfigurationBelief} from '../beliefs/configuration_belief.js';
import type {ValidatedRequest} from './validated_request.js';
import type {HeaderNames} from './header_names.js';
import type {LocalResponse} from './local_response.js';
import {chooseRetryAfterMs} from './choose_retry_after_ms.js';

interface Options {
  readonly random: RandomSource;
  readonly headerNames: HeaderNames;
  readonly configuration: ConfigurationBelief;
  /** Age of the configuration up to which keys are accepted, in ms. */
  readonly maxKeyAgeMs: () => number;
  /** Age of the configuration up to which an unknown route or key is refused as such, in ms. */
  readonly maxDenialAgeMs: () => number;
  /** Whether a request that is read now may have been sent before the configuration in force was. */
  readonly mayPredateConfiguration: () => boolean;
}

/** Statuses of refusals. */
const STATUS = {
  BAD_REQUEST: 400,
  UNAUTHORIZED: 401,
  NOT_FOUND: 404,
  MISDIRECTED: 421,
  HEADERS_TOO_LARGE: 431,
  UNAVAILABLE: 503,
};
/** The value by which a caller leaves the model open. */
const ANY_MODEL = '*';
/** What a header's line has besides its name and value, shared between the two, in bytes. */
const SEPARATOR_BYTES = 2;

/** Decides by a request's headers whether it may run. */
export class RequestValidator {
  constructor(private readonly options: Options) {}

  /** The route and the key's holder, or why the request is refused; it has not run then. */
  validate(request: IncomingMessage): ValidatedRequest | LocalResponse {
    const configuration = this.options.configuration.current;
    if (!configuration) return this.refuseForNow('no configuration yet');
    const malformed = this.checkHeaders(request, configuration);
    if (malformed) return malformed;
    const route = this.findRoute(request);
    if (!route) return this.deny(STATUS.NOT_FOUND, 'no route');
    const holder = this.findHolder(request, configuration);
    const unknown = this.checkKey(configuration, route, holder);
    if (unknown) return unknown;
    if (!this.leavesModelOpen(request, route))
      return {
        status: STATUS.MISDIRECTED,
        reason: 'the model must be left open',
      };
    return {route, holder};
  }

  private checkHeaders(
    request: IncomingMessage,
    {limits}: CallConfiguration,
  ): LocalResponse | undefined {
    if (countHeaderBytes(request) > limits.headerBytes)
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

  private findHolder(
    {headers}: IncomingMessage,
    {keys}: CallConfiguration,
  ): ApiKeyOwner | undefined {
    const key = headers[this.options.headerNames.apiKey];
    return typeof key === 'string' ? keys?.get(key) : undefined;
  }

  private checkKey(
    {keys}: CallConfiguration,
    route: CallRoute,
    holder: ApiKeyOwner | undefined,
  ): LocalResponse | undefined {
    const {
      configuration: belief,
      maxKeyAgeMs,
      mayPredateConfiguration,
    } = this.options;
    if (!keys || route.isPublic) return undefined;
    // It may have waited here since a time at which its key was withdrawn, and was sent to be refused.
    if (mayPredateConfiguration())
      return this.refuseForNow('may be older than the configuration');
    if (belief.ageMs > maxKeyAgeMs())
      return this.refuseForNow('configuration too old to trust keys');
    if (holder) return undefined;
    return this.deny(STATUS.UNAUTHORIZED, 'unknown key');
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

  /** Refuses what the configuration does not know; an old one may only be behind. */
  private deny(status: number, reason: string): LocalResponse {
    const {configuration: belief, maxDenialAgeMs} = this.options;
    if (belief.ageMs <= maxDenialAgeMs()) return {status, reason};
    return this.refuseForNow(`${reason} in an old configuration`);
  }

  private refuseForNow(reason: string): LocalResponse {
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
