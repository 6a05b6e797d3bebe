import type {RouteRequest} from './route_request.js';
import type {RunnerView} from './runner_view.js';

/** Chooses one of the runners that are healthy and have free capacity. */
export interface LoadBalancer {
  choose(
    runners: readonly RunnerView[],
    request: RouteRequest,
  ): RunnerView | undefined;
}
