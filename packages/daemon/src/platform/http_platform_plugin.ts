import {pluginRegistry, type Plugin} from '@bayspool/kernel';
import {daemonTokens} from '../daemon_tokens.js';
import {createHttpClient} from './create_http_client.js';
import {HttpLog} from './http_log.js';
import {HttpRatingService} from './http_rating_service.js';
import {HttpRoster} from './http_roster.js';
import {HttpWeightStore} from './http_weight_store.js';
import {platformSection} from './platform_section.js';

const httpPlatformPlugin: Plugin = {
  name: 'platform-http',
  sections: [platformSection],
  enabled: settings => settings.one(platformSection).kind === 'http',
  install(container, settings) {
    const platform = settings.one(platformSection);
    const timeoutMs = platform.timeout;
    const client = (endpoint: string) =>
      createHttpClient({endpoint, timeoutMs});
    container
      .bind(daemonTokens.log)
      .toConstantValue(new HttpLog({http: client(platform.log!), timeoutMs}));
    if (platform.rating) {
      container
        .bind(daemonTokens.ratingService)
        .toConstantValue(
          new HttpRatingService({http: client(platform.rating), timeoutMs}),
        );
    }
    if (platform.roster)
      container
        .bind(daemonTokens.roster)
        .toConstantValue(new HttpRoster(client(platform.roster)));
    if (platform.weights) {
      container
        .bind(daemonTokens.weights)
        .toConstantValue(new HttpWeightStore(client(platform.weights)));
    }
  },
};

pluginRegistry.register(httpPlatformPlugin);
