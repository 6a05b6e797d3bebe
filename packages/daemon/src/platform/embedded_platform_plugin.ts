import {pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {
  MemoryLog,
  MemoryRating,
  MemoryRoster,
  MemoryWeightStore,
} from '@bayspool/standins';
import {daemonTokens} from '../daemon_tokens.js';
import {platformSection} from './platform_section.js';

const LOADS_PER_MINUTE = 60;

const embeddedPlatformPlugin: Plugin = {
  name: 'platform-embedded',
  sections: [],
  enabled: settings => settings.one(platformSection).kind === 'embedded',
  install(container, settings) {
    const platform = settings.one(platformSection);
    const clock = container.get(tokens.clock);
    const quality = platform.quality
      .map(item => item.split('='))
      .map(([key, share]) => [key, Number(share)]);
    container
      .bind(daemonTokens.log)
      .toConstantValue(new MemoryLog({clock, retentionMs: platform.retention}));
    container.bind(daemonTokens.ratingService).toConstantValue(
      new MemoryRating({
        clock,
        random: container.get(tokens.random),
        quality: Object.fromEntries(quality),
        delayMs: platform['rating-delay'],
      }),
    );
    container
      .bind(daemonTokens.roster)
      .toConstantValue(new MemoryRoster({clock}));
    container
      .bind(daemonTokens.weights)
      .toConstantValue(
        new MemoryWeightStore({loadsPerMinute: LOADS_PER_MINUTE}),
      );
  },
};

pluginRegistry.register(embeddedPlatformPlugin);
