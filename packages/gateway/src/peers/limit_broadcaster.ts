import type {Clock} from '@bayspool/kernel';
import type {HostEntry} from './host_entry.js';
import type {PeerClient} from './peer_client.js';
import type {HostDirectory} from './host_directory.js';
import type {SyncProtocol} from './sync_protocol.js';

interface Options {
  readonly clock: Clock;
  readonly hostDirectory: HostDirectory;
  readonly client: PeerClient;
  readonly protocol: SyncProtocol;
}

/** Pause between two rounds in which hosts are told, in ms: what is heard meanwhile is told together. */
const MIN_INTERVAL_MS = 200;

/**
 * Tells other hosts at once that a runner is in need: until the next exchange each host that does not know would send it more.
 * The readers of all places are told, and wake the hosts that wait for news there.
 */
export class LimitBroadcaster {
  private lastBroadcastAt = -Infinity;
  private isScheduled = false;

  constructor(private readonly options: Options) {}

  /** Tells what this host has just heard from a runner, now or behind the pause. */
  scheduleBroadcast(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const {clock} = this.options;
    const waitMs = Math.max(
      0,
      this.lastBroadcastAt + MIN_INTERVAL_MS - clock.now(),
    );
    clock.after(waitMs, () => this.broadcast());
  }

  private broadcast(): void {
    const {clock, hostDirectory: roster} = this.options;
    const {self} = roster;
    this.isScheduled = false;
    this.lastBroadcastAt = clock.now();
    for (const place of [self.place, ...roster.listOtherPlaces()]) {
      const reader = roster.findReader(place);
      if (reader && reader.name !== self.name) void this.sendTo(reader);
    }
  }

  private async sendTo({name, place, address}: HostEntry): Promise<void> {
    const {clock, client, protocol: desk, hostDirectory: roster} = this.options;
    const sentAt = clock.now();
    try {
      const answer = await client.sync(address, desk.request(0, place));
      desk.applyLimits(answer, sentAt);
    } catch (error) {
      roster.recordFailure(name, String(error));
    }
  }
}
