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

/** Minimum interval between two broadcasts, in ms; limits that arrive meanwhile share the next one. */
const MIN_INTERVAL_MS = 200;

/**
 * Broadcasts an urgent declared limit of a runner right away: until the next sync, every host that does not know it
 * would send the runner too many calls. The broadcast goes to the readers of all places, which then complete the
 * long polls of the other hosts there.
 */
export class LimitBroadcaster {
  private lastBroadcastAt = -Infinity;
  private isScheduled = false;

  constructor(private readonly options: Options) {}

  /** Broadcasts the declared limits that this host knows, now or at the end of the minimum interval. */
  scheduleBroadcast(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const {clock} = this.options;
    const delayMs = Math.max(
      0,
      this.lastBroadcastAt + MIN_INTERVAL_MS - clock.now(),
    );
    clock.after(delayMs, () => this.broadcast());
  }

  private broadcast(): void {
    const {clock, hostDirectory} = this.options;
    const {self} = hostDirectory;
    this.isScheduled = false;
    this.lastBroadcastAt = clock.now();
    for (const place of [self.place, ...hostDirectory.listOtherPlaces()]) {
      const reader = hostDirectory.findReader(place);
      if (reader && reader.name !== self.name) void this.sendTo(reader);
    }
  }

  private async sendTo({name, place, address}: HostEntry): Promise<void> {
    const {clock, client, protocol, hostDirectory} = this.options;
    const sentAt = clock.now();
    try {
      const response = await client.sync(
        address,
        protocol.createRequest(0, place),
      );
      protocol.applyStatements(response, sentAt);
    } catch (error) {
      hostDirectory.recordFailure(name, String(error));
    }
  }
}
