import type {RouteRequest} from './route_request.js';
import type {RunnerView} from './runner_view.js';

/** Chooses among runners that are fit and have room. */
export interface LoadBalancer {
  choose(
    runners: readonly RunnerView[],
    request: RouteRequest,
  ): RunnerView | undefined;
}
