import {randomUUID} from 'node:crypto';
import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {ClusterSealers} from './cluster_sealers.js';

const sections = {
  host: {
    name: 'host',
    shape: z.strictObject({
      /** This host's name, unique in the fleet. */
      id: z
        .string()
        .regex(
          /^[a-z0-9][a-z0-9-]{0,62}$/,
          'needs a name of lower-case letters, digits and hyphens',
        ),
      /** The place where it stands. */
      place: z.string().min(1, "needs the name of the host's place"),
      /** Where peers reach this host. */
      'peer-address': fields.endpoint(),
      /** Where the peer door listens, if that is not the address that peers use. */
      'peer-listen': fields.endpoint().optional(),
    }),
  },
  secrets: {
    name: 'secrets',
    shape: z.strictObject({
      /** Seals sessions: `new-id:new-secret,old-id:old-secret`. */
      sessions: fields.secret(),
      /** Seals peers' messages, log records, plans and tickets. */
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
