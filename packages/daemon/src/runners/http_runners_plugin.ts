import {pluginRegistry, type Plugin} from '@bayspool/kernel';
import {daemonTokens} from '../daemon_tokens.js';
import {HttpRunner} from './http_runner.js';
import {HttpServiceRunner} from './http_service_runner.js';
import {runnerSections} from './runner_sections.js';

const httpRunnersPlugin: Plugin = {
  name: 'runners-http',
  sections: [
    runnerSections.runner,
    runnerSections.serviceRunner,
    runnerSections.routing,
  ],
  install(container, settings) {
    const routing = settings.one(runnerSections.routing);
    const common = {
      connectTimeoutMs: routing['connect-timeout'],
      stallTimeoutMs: routing.stall,
    };
    for (const [id, {place, address}] of settings.all(runnerSections.runner)) {
      container
        .bind(daemonTokens.runner)
        .toConstantValue(
          new HttpRunner({id, place, endpoint: address, ...common}),
        );
    }
    for (const [id, {service, place, address}] of settings.all(
      runnerSections.serviceRunner,
    )) {
      container.bind(daemonTokens.serviceRunner).toConstantValue(
        new HttpServiceRunner({
          id,
          service,
          place,
          endpoint: address,
          ...common,
        }),
      );
    }
  },
};

pluginRegistry.register(httpRunnersPlugin);
