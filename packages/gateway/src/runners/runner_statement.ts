import type {BrittleHeader} from './brittle_header.js';
import type {LeavingHeader} from './leaving_header.js';
import type {LimitHeader} from './limit_header.js';
import type {RestHeader} from './rest_header.js';

/** What a runner states about itself in the headers of one response. */
export interface RunnerStatement {
  readonly limit: LimitHeader;
  readonly leaving: LeavingHeader;
  readonly rest: RestHeader;
  readonly brittle: BrittleHeader;
}
