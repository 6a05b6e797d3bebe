import type {LoadBalancer} from './load_balancer.js';
import type {RunnerView} from './runner_view.js';

/** Baseline load balancer: selects the runners in turn. */
export class RoundRobin implements LoadBalancer {
  private nextIndex = 0;

  choose(runners: readonly RunnerView[]): RunnerView | undefined {
    return runners[this.nextIndex++ % Math.max(1, runners.length)];
  }
}
