import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {WorkspaceRateLimiter} from './workspace_rate_limiter.js';

const limitsSection = {
  name: 'limits',
  shape: z.strictObject({
    /** The number of hosts in the fleet when all are up. */
    fleet: fields.number(1),
  }),
};

const limitsPlugin: Plugin = {
  name: 'limits',
  sections: [limitsSection],
  install(container, settings) {
    const rateLimiter = new WorkspaceRateLimiter({
      clock: container.get(tokens.clock),
      store: container.get(daemonTokens.configurationStore),
      membership: container.get(daemonTokens.membership),
      fleetHosts: settings.one(limitsSection).fleet,
    });
    container
      .get(daemonTokens.localHostState)
      .addContributor(() => ({demand: rateLimiter.measureDemand()}));
    container
      .bind(daemonTokens.workspaceRateLimiter)
      .toConstantValue(rateLimiter);
  },
};

pluginRegistry.register(limitsPlugin);
