import {randomUUID} from 'node:crypto';
import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {ClusterSealers} from './cluster_sealers.js';
import {createRequestPacer} from './create_request_pacer.js';

const sections = {
  host: {
    name: 'host',
    shape: z.strictObject({
      /** Name of this host, unique in the fleet. */
      id: z
        .string()
        .regex(
          /^[a-z0-9][a-z0-9-]{0,62}$/,
          'needs a name of lower-case letters, digits and hyphens',
        ),
      /** The place (availability zone) of this host. */
      place: z.string().min(1, "needs the name of the host's place"),
      /** Address at which peers reach this host. */
      'peer-address': fields.endpoint(),
      /** Address on which the peer server listens, when it differs from `peer-address`. */
      'peer-listen': fields.endpoint().optional(),
    }),
  },
  secrets: {
    name: 'secrets',
    shape: z.strictObject({
      /** Keys that seal sessions: `new-id:new-secret,old-id:old-secret`. */
      sessions: fields.secret(),
      /** Keys that seal peer messages, log records, plans and tickets. */
      cluster: fields.secret(),
    }),
  },
};

const hostPlugin: Plugin = {
  name: 'host',
  sections: Object.values(sections),
  install(container, settings) {
    const host = settings.one(sections.host);
    const clock = container.get(tokens.clock);
    const pacer = createRequestPacer({
      clock: container.get(tokens.clock),
      logger: container.get(tokens.logger),
      metrics: container.get(tokens.metrics),
    });
    container.bind(daemonTokens.requestPacer).toConstantValue(pacer);
    container.bind(daemonTokens.hostIdentity).toConstantValue({
      id: host.id,
      place: host.place,
      boot: randomUUID(),
      incarnation: Math.round(clock.wall()),
      peerAddress: host['peer-address'],
      peerListen: host['peer-listen'] ?? host['peer-address'],
    });
    container
      .bind(daemonTokens.sealers)
      .toConstantValue(new ClusterSealers(settings.one(sections.secrets)));
  },
};

pluginRegistry.register(hostPlugin);
