import {JSONRPCErrorException} from 'json-rpc-2.0';
import {rankByHash} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {RoomObservation} from '../runners/room_observation.js';
import type {HostDirectory} from './host_directory.js';
import type {HostEntry} from './host_entry.js';
import type {PeerClient} from './peer_client.js';

interface Options {
  readonly clock: Clock;
  readonly hostDirectory: HostDirectory;
  readonly client: PeerClient;
}

/** Hosts that are told of a room: those that would have a share of a large one. */
const MAX_HOSTS = 16;

/** Tells the hosts that share the room of a brittle runner what this host found, right away. */
export class RoomBroadcaster {
  constructor(private readonly options: Options) {}

  /** Sends an observation; a host that does not take it finds the room out by itself. */
  send(observation: RoomObservation): void {
    for (const host of this.listSharers(observation))
      void this.sendTo(host, observation);
  }

  private listSharers({runner}: RoomObservation): readonly HostEntry[] {
    const {self} = this.options.hostDirectory;
    const live = this.options.hostDirectory.listLive();
    const others = live.filter(({name}) => name !== self.name);
    if (others.length <= MAX_HOSTS) return others;
    const names = others.map(({name}) => name);
    const ranked = rankByHash(`brittle|${runner.split('~')[0]}`, names);
    const chosen = new Set(ranked.slice(0, MAX_HOSTS));
    return others.filter(({name}) => chosen.has(name));
  }

  private async sendTo(
    {name, address}: HostEntry,
    observation: RoomObservation,
  ): Promise<void> {
    const {client, hostDirectory} = this.options;
    try {
      await client.sendRooms(address, [observation]);
    } catch (error) {
      // The host responded: an earlier release does not know the method.
      if (error instanceof JSONRPCErrorException) return;
      hostDirectory.recordFailure(name, String(error));
    }
  }
}
