import type {IncomingMessage} from 'node:http';
import type {RunnerStatement} from '../runners/runner_statement.js';
import type {HeaderNames} from './header_names.js';
import {readBrittleHeader} from './read_brittle_header.js';
import {readLeavingHeader} from './read_leaving_header.js';
import {readLimitHeader} from './read_limit_header.js';
import {readRestHeader} from './read_rest_header.js';

/** Reads what a runner states about itself in the headers of a response. */
export function readRunnerStatement(
  response: IncomingMessage,
  headerNames: HeaderNames,
): RunnerStatement {
  return {
    limit: readLimitHeader(response, headerNames.limit),
    leaving: readLeavingHeader(response, headerNames.leaving),
    brittle: readBrittleHeader(response, headerNames.brittle),
    rest: readRestHeader(response, headerNames.retryAfter),
  };
}
