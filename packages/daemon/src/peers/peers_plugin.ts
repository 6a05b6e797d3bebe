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
    /** Peer addresses to begin with, of any place. */
    seeds: fields
      .list('')
      .refine(
        list =>
          list.every(item => /^[\d.]+:\d+$|^\[[\da-f:]+\]:\d+$/.test(item)),
        'needs IP numbers with ports, not host names; write 10.0.0.7:7100,10.0.0.8:7100',
      ),
    /** Between two rounds of heartbeats inside the place. */
    interval: fields.duration('2s'),
    /** Hosts called in a round. */
    fanout: fields.number(2),
    /** Between two rounds of a relay with other places. */
    'relay-interval': fields.duration('5s'),
    /** Without a message for this long a host of the place is taken to be gone. */
    'suspect-after': fields.duration('15s'),
    /** Without a digest for this long another place is taken to be cut off. */
    'place-suspect-after': fields.duration('60s'),
    /** After this time a host that is gone is forgotten, its ratings with it. */
    'forget-after': fields.duration('1h'),
    /** How long one call to a peer may take. */
    timeout: fields.duration('2s'),
    /** The local IP number that calls to peers come from, on hosts that have several. */
    source: z.ipv4('needs an IP number').optional(),
    /** A longer message is refused unread. */
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
    const seal = container.get(daemonTokens.sealers).peers;
    const methods = new PeerMethodRegistry(logger);
    const ownState = new LocalHostState(identity);
    const freshness = new LogFreshness(clock);
    const transport = container.isBound(daemonTokens.peerTransport)
      ? container.get(daemonTokens.peerTransport)
      : new HttpPeerTransport({sourceAddress: peers.source});
    const client = new PeerClient({
      seal,
      metrics,
      transport,
      timeoutMs: peers.timeout,
    });
    const inbox = new PeerMessageHandler({seal, methods, metrics});
    container.bind(daemonTokens.peerMessageHandler).toConstantValue(inbox);
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
    container.bind(daemonTokens.localHostState).toConstantValue(ownState);
    container.bind(daemonTokens.freshness).toConstantValue(freshness);
    container.bind(daemonTokens.membership).toConstantValue(membership);
    const messageBytesMost = peers['message-limit'];
    container.bind(tokens.service).toConstantValue(
      new PeerServer({
        endpoint: identity.peerListen,
        messageHandler: inbox,
        logger,
        maxMessageBytes: messageBytesMost,
      }),
    );
    const gossip = new Gossip({
      clock,
      random,
      logger,
      metrics,
      identity,
      localHostState: ownState,
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
