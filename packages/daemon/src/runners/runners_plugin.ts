import {
  CrossingPolicy,
  StartTimeFairQueueing,
  FifoQueueing,
  LeastPredictedWait,
  RoundRobin,
  type LoadBalancer,
} from '@bayspool/decisions';
import {
  pluginRegistry,
  tokens,
  type Plugin,
  type RandomSource,
} from '@bayspool/kernel';
import type {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {readPoolSettings} from './read_pool_settings.js';
import {RunnerPoller} from './runner_poller.js';
import {RunnerPool} from './runner_pool.js';
import {runnerSections} from './runner_sections.js';
import {ServiceRunnerPool} from './service_runner_pool.js';

type RoutingSettings = z.output<typeof runnerSections.routing.shape>;

const runnersPlugin: Plugin = {
  name: 'runners',
  sections: [],
  install(container, settings) {
    const routing = settings.one(runnerSections.routing);
    const clock = container.get(tokens.clock);
    const random = container.get(tokens.random);
    const metrics = container.get(tokens.metrics);
    const store = container.get(daemonTokens.configurationStore);
    const leaving = container.get(daemonTokens.leavingState);
    const isDrained = ({id}: {id: string}) =>
      Boolean(store.current.drained[`runner/${id}`]) ||
      leaving.isRunnerLeaving(id);
    const common = () => ({
      clock,
      random,
      isDrained,
      settings: readPoolSettings(routing),
      discipline:
        routing.order === 'fair'
          ? new StartTimeFairQueueing()
          : new FifoQueueing(),
      loadBalancer: createLoadBalancer(routing, random),
      crossingPolicy: new CrossingPolicy({
        startLoad: routing['crossing-enter'],
        stopLoad: routing['crossing-leave'],
        maxTargetLoad: routing['crossing-cap'],
      }),
    });
    const runnerPool = new RunnerPool(common());
    const serviceRunnerPool = new ServiceRunnerPool(common());
    if (container.isBound(daemonTokens.runner))
      container
        .getAll(daemonTokens.runner)
        .forEach(runner => runnerPool.add(runner, []));
    if (container.isBound(daemonTokens.serviceRunner)) {
      container
        .getAll(daemonTokens.serviceRunner)
        .forEach(service => serviceRunnerPool.add(service, [service.service]));
    }
    store.subscribe(() => {
      runnerPool.dispatchQueued();
      serviceRunnerPool.dispatchQueued();
    });
    container
      .get(daemonTokens.localHostState)
      .addContributor(() => ({running: runnerPool.countRunningByPlace()}));
    metrics.observeEach(
      'runner_requests_in_flight',
      'Requests of this host at each runner.',
      'runner',
      () =>
        Object.fromEntries(
          [...runnerPool.listStates(), ...serviceRunnerPool.listStates()].map(
            state => [state.backend.id, state.inFlight],
          ),
        ),
    );
    metrics.observeEach(
      'queue_length',
      'Requests that wait for a runner.',
      'pool',
      () => ({
        engines: runnerPool.queueLength,
        services: serviceRunnerPool.queueLength,
      }),
    );
    container.bind(daemonTokens.runnerPool).toConstantValue(runnerPool);
    container
      .bind(daemonTokens.serviceRunnerPool)
      .toConstantValue(serviceRunnerPool);
    container.bind(tokens.service).toConstantValue(
      new RunnerPoller({
        clock,
        random,
        pool: runnerPool,
        logger: container.get(tokens.logger),
        intervalMs: routing['poll-interval'],
        maxPollsPerSecond: routing['polls-per-second'],
        timeoutMs: routing['connect-timeout'],
      }),
    );
  },
};

function createLoadBalancer(
  routing: RoutingSettings,
  random: RandomSource,
): LoadBalancer {
  if (routing.choice === 'round-robin') return new RoundRobin();
  return new LeastPredictedWait({random, crossingMs: routing['crossing-cost']});
}

pluginRegistry.register(runnersPlugin);
