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
import {poolSettingsOf} from './pool_settings_of.js';
import {RunnerPoller} from './runner_poller.js';
import {RunnerPool} from './runner_pool.js';
import {runnerSections} from './runner_sections.js';
import {ServicePool} from './service_pool.js';

type Routing = z.output<typeof runnerSections.routing.shape>;

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
      settings: poolSettingsOf(routing),
      order:
        routing.order === 'fair'
          ? new StartTimeFairQueueing()
          : new FifoQueueing(),
      choice: chooserOf(routing, random),
      crossing: new CrossingPolicy({
        startLoad: routing['crossing-enter'],
        stopLoad: routing['crossing-leave'],
        maxTargetLoad: routing['crossing-cap'],
      }),
    });
    const pool = new RunnerPool(common());
    const services = new ServicePool(common());
    if (container.isBound(daemonTokens.runner))
      container
        .getAll(daemonTokens.runner)
        .forEach(runner => pool.add(runner, []));
    if (container.isBound(daemonTokens.plainService)) {
      container
        .getAll(daemonTokens.plainService)
        .forEach(service => services.add(service, [service.service]));
    }
    store.subscribe(() => {
      pool.serve();
      services.serve();
    });
    container
      .get(daemonTokens.localHostState)
      .addContributor(() => ({running: pool.running()}));
    metrics.observeEach(
      'runner_requests_in_flight',
      'Requests of this host at each runner.',
      'runner',
      () =>
        Object.fromEntries(
          [...pool.all(), ...services.all()].map(state => [
            state.target.id,
            state.inFlight,
          ]),
        ),
    );
    metrics.observeEach(
      'queue_length',
      'Requests that wait for a runner.',
      'pool',
      () => ({
        engines: pool.waiting,
        services: services.waiting,
      }),
    );
    container.bind(daemonTokens.runnerPool).toConstantValue(pool);
    container.bind(daemonTokens.servicePool).toConstantValue(services);
    container.bind(tokens.service).toConstantValue(
      new RunnerPoller({
        clock,
        random,
        pool,
        logger: container.get(tokens.logger),
        intervalMs: routing['poll-interval'],
        pollsPerSecond: routing['polls-per-second'],
        timeoutMs: routing['connect-timeout'],
      }),
    );
  },
};

function chooserOf(routing: Routing, random: RandomSource): LoadBalancer {
  if (routing.choice === 'round-robin') return new RoundRobin();
  return new LeastPredictedWait({random, crossingMs: routing['crossing-cost']});
}

pluginRegistry.register(runnersPlugin);
