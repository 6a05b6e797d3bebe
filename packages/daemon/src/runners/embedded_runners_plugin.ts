import {pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {
  EmbeddedRunner,
  EmbeddedService,
  Engine,
  PackApp,
} from '@bayspool/standins';
import {daemonTokens} from '../daemon_tokens.js';
import {runnerSections} from './runner_sections.js';

const embeddedRunnersPlugin: Plugin = {
  name: 'runners-embedded',
  sections: [runnerSections.embeddedRunner, runnerSections.embeddedService],
  install(container, settings) {
    const clock = container.get(tokens.clock);
    for (const [
      id,
      {place, versions, slots, step, prefill, 'load-time': loadMs},
    ] of settings.all(runnerSections.embeddedRunner)) {
      const engine = new Engine({
        clock,
        id,
        versions,
        slots,
        stepMs: step,
        prefillMs: prefill,
        loadMs,
      });
      container
        .bind(daemonTokens.runner)
        .toConstantValue(new EmbeddedRunner({id, place, engine}));
    }
    const apps = new Map<string, PackApp>();
    for (const [id, {service, place}] of settings.all(
      runnerSections.embeddedService,
    )) {
      const app = apps.get(service) ?? new PackApp({clock});
      apps.set(service, app);
      container
        .bind(daemonTokens.serviceRunner)
        .toConstantValue(new EmbeddedService({id, service, place, app}));
    }
  },
};

pluginRegistry.register(embeddedRunnersPlugin);
