import type {HeaderNames} from '../calls/header_names.js';
import {hopByHopHeaders} from '../calls/hop_by_hop_headers.js';
import {readConnectionOptions} from '../calls/read_connection_options.js';
import type {RequestHeaders} from '../calls/request_headers.js';
import {relayHeaders} from './relay_headers.js';
import type {RelayOrigin} from './relay_origin.js';

interface Options {
  readonly headerNames: HeaderNames;
  readonly origin: RelayOrigin;
}

/**
 * Builds the headers of a call for another host: the caller's, as that host checks and replaces them itself, without
 * hop-by-hop ones, plus what is known only here.
 */
export class RelayHeaderBuilder implements RequestHeaders {
  private readonly replacedNames: ReadonlySet<string>;

  constructor(private readonly options: Options) {
    const {deadline, lastEventId} = options.headerNames;
    this.replacedNames = new Set([
      ...hopByHopHeaders,
      ...Object.values(relayHeaders),
      deadline,
      lastEventId,
      'content-length',
      'expect',
    ]);
  }

  build({
    call,
    remainingMs,
    lastEventId,
  }: Parameters<RequestHeaders['build']>[0]): string[] {
    const {headerNames, origin} = this.options;
    const headers = this.copyCallerHeaders(call.rawHeaders);
    const deadlineMs = Math.max(1, Math.floor(remainingMs));
    headers.push(headerNames.deadline, String(deadlineMs));
    if (lastEventId !== undefined)
      headers.push(headerNames.lastEventId, String(lastEventId));
    headers.push(relayHeaders.FROM, origin.host);
    headers.push(relayHeaders.ATTEMPTS, String(origin.attempts));
    headers.push(relayHeaders.COUNTED, origin.isCounted ? '1' : '0');
    if (call.body.length > 0 || call.method !== 'GET')
      headers.push('content-length', String(call.body.length));
    return headers;
  }

  private copyCallerHeaders(rawHeaders: readonly string[]): string[] {
    const connectionOptions = readConnectionOptions(rawHeaders);
    const headers: string[] = [];
    for (let i = 0; i < rawHeaders.length; i += 2) {
      const name = rawHeaders[i].toLowerCase();
      const isRequired = name === 'host';
      const isDropped =
        this.replacedNames.has(name) || connectionOptions.has(name);
      if (isDropped && !isRequired) continue;
      headers.push(rawHeaders[i], rawHeaders[i + 1]);
    }
    return headers;
  }
}
