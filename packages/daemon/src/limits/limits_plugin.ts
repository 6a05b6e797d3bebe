import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {WorkspaceRateLimiter} from './workspace_rate_limiter.js';

const limitsSection = {
  name: 'limits',
  shape: z.strictObject({
    /** How many hosts the fleet has when all are up. */
    fleet: fields.number(1),
  }),
};

const limitsPlugin: Plugin = {
  name: 'limits',
  sections: [limitsSection],
  install(container, settings) {
    const limits = new WorkspaceRateLimiter({
      clock: container.get(tokens.clock),
      store: container.get(daemonTokens.configurationStore),
      membership: container.get(daemonTokens.membership),
      fleetHosts: settings.one(limitsSection).fleet,
    });
    container
      .get(daemonTokens.localHostState)
      .addContributor(() => ({demand: limits.measureDemand()}));
    container.bind(daemonTokens.workspaceLimits).toConstantValue(limits);
  },
};

pluginRegistry.register(limitsPlugin);
