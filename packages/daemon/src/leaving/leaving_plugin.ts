import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {LeavingState} from './leaving_state.js';
import {RosterPoller} from './roster_poller.js';

const leavingSection = {
  name: 'leaving',
  shape: z.strictObject({
    /** How long a leaving host still accepts work, so that the load balancer notices first. */
    notice: fields.duration('3s'),
    /** How often the platform's roster of hosts is read. */
    'roster-interval': fields.duration('2s'),
  }),
};

const leavingPlugin: Plugin = {
  name: 'leaving',
  sections: [leavingSection],
  install(container, settings) {
    const section = settings.one(leavingSection);
    const clock = container.get(tokens.clock);
    const leavingState = new LeavingState({
      clock,
      hostId: container.get(daemonTokens.hostIdentity).id,
      store: container.get(daemonTokens.configurationStore),
      gracePeriodMs: section.notice,
    });
    container
      .get(daemonTokens.localHostState)
      .addContributor(() => ({leaving: leavingState.isLeaving()}));
    container.bind(daemonTokens.leavingState).toConstantValue(leavingState);
    if (!container.isBound(daemonTokens.roster)) return;
    container.bind(tokens.service).toConstantValue(
      new RosterPoller({
        clock,
        random: container.get(tokens.random),
        logger: container.get(tokens.logger),
        roster: container.get(daemonTokens.roster),
        leavingState,
        intervalMs: section['roster-interval'],
      }),
    );
  },
};

pluginRegistry.register(leavingPlugin);
