import {LogFreshness, Membership} from '@bayspool/decisions';
import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {Gossip} from './gossip.js';
import {LocalHostState} from './local_host_state.js';
import {HttpPeerTransport} from './http_peer_transport.js';
import {PeerClient} from './peer_client.js';
import {PeerServer} from './peer_server.js';
import {PeerMessageHandler} from './peer_message_handler.js';
import {PeerMethodRegistry} from './peer_method_registry.js';

/** Settings of the traffic between hosts. */
export const peersSection = {
  name: 'peers',
  shape: z.strictObject({
    /** Addresses of initial peers, in any place. */
    seeds: fields
      .list('')
      .refine(
        list =>
          list.every(item => /^[\d.]+:\d+$|^\[[\da-f:]+\]:\d+$/.test(item)),
        'needs IP numbers with ports, not host names; write 10.0.0.7:7100,10.0.0.8:7100',
      ),
    /** Interval of heartbeat rounds within the place. */
    interval: fields.duration('2s'),
    /** Hosts that are called in a round. */
    fanout: fields.number(2),
    /** Interval of rounds in which a relay calls other places. */
    'relay-interval': fields.duration('5s'),
    /** A host of the place that sends no message for this long is considered dead. */
    'suspect-after': fields.duration('15s'),
    /** Another place that sends no digest for this long is considered cut off. */
    'place-suspect-after': fields.duration('60s'),
    /** A dead host is removed after this time, together with its ratings. */
    'forget-after': fields.duration('1h'),
    /** Timeout of one call to a peer. */
    timeout: fields.duration('2s'),
    /** The local IP address from which peers are called, for hosts that have several. */
    source: z.ipv4('needs an IP number').optional(),
    /** Longer messages are refused without being read. */
    'message-limit': fields.size('16MiB'),
  }),
};

const peersPlugin: Plugin = {
  name: 'peers',
  sections: [peersSection],
  install(container, settings) {
    const peers = settings.one(peersSection);
    const clock = container.get(tokens.clock);
    const random = container.get(tokens.random);
    const logger = container.get(tokens.logger);
    const metrics = container.get(tokens.metrics);
    const identity = container.get(daemonTokens.hostIdentity);
    const sealer = container.get(daemonTokens.sealers).peers;
    const methods = new PeerMethodRegistry(logger);
    const localHostState = new LocalHostState(identity);
    const freshness = new LogFreshness(clock);
    const maxMessageBytes = peers['message-limit'];
    const transport = container.isBound(daemonTokens.peerTransport)
      ? container.get(daemonTokens.peerTransport)
      : new HttpPeerTransport({
          sourceAddress: peers.source,
          maxMessageBytes,
        });
    const client = new PeerClient({
      sealer,
      metrics,
      transport,
      timeoutMs: peers.timeout,
    });
    const messageHandler = new PeerMessageHandler({sealer, methods, metrics});
    container
      .bind(daemonTokens.peerMessageHandler)
      .toConstantValue(messageHandler);
    const membership = new Membership({
      clock,
      self: identity.id,
      place: identity.place,
      suspectAfterMs: peers['suspect-after'],
      placeSuspectAfterMs: peers['place-suspect-after'],
      forgetAfterMs: peers['forget-after'],
    });
    container.bind(daemonTokens.peerMethods).toConstantValue(methods);
    container.bind(daemonTokens.peerClient).toConstantValue(client);
    container.bind(daemonTokens.localHostState).toConstantValue(localHostState);
    container.bind(daemonTokens.freshness).toConstantValue(freshness);
    container.bind(daemonTokens.membership).toConstantValue(membership);
    container.bind(tokens.service).toConstantValue(
      new PeerServer({
        pacer: container.get(daemonTokens.requestPacer),
        endpoint: identity.peerListen,
        messageHandler,
        logger,
        maxMessageBytes,
      }),
    );
    const gossip = new Gossip({
      clock,
      random,
      logger,
      metrics,
      identity,
      localHostState,
      membership,
      freshness,
      client,
      methods,
      seeds: peers.seeds,
      intervalMs: peers.interval,
      fanout: peers.fanout,
      relayIntervalMs: peers['relay-interval'],
    });
    container.bind(daemonTokens.gossip).toConstantValue(gossip);
    container.bind(tokens.service).toConstantValue(gossip);
  },
};

pluginRegistry.register(peersPlugin);
