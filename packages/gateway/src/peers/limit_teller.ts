import type {Clock} from '@bayspool/kernel';
import type {HostEntry} from './host_entry.js';
import type {PeerClient} from './peer_client.js';
import type {Roster} from './roster.js';
import type {SyncDesk} from './sync_desk.js';

interface Options {
  readonly clock: Clock;
  readonly roster: Roster;
  readonly client: PeerClient;
  readonly desk: SyncDesk;
}

/** Pause between two rounds in which hosts are told, in ms: what is heard meanwhile is told together. */
const PAUSE_MS = 200;

/**
 * Tells other hosts at once that a runner is in need: until the next exchange each host that does not know would send it more.
 * The readers of all places are told, and wake the hosts that wait for news there.
 */
export class LimitTeller {
  private toldAt = -Infinity;
  private isDue = false;

  constructor(private readonly options: Options) {}

  /** Tells what this host has just heard from a runner, now or behind the pause. */
  tellSoon(): void {
    if (this.isDue) return;
    this.isDue = true;
    const {clock} = this.options;
    const waitMs = Math.max(0, this.toldAt + PAUSE_MS - clock.now());
    clock.after(waitMs, () => this.tell());
  }

  private tell(): void {
    const {clock, roster} = this.options;
    const {self} = roster;
    this.isDue = false;
    this.toldAt = clock.now();
    for (const place of [self.place, ...roster.otherPlaces()]) {
      const reader = roster.readerOf(place);
      if (reader && reader.name !== self.name) void this.tellHost(reader);
    }
  }

  private async tellHost({name, place, address}: HostEntry): Promise<void> {
    const {clock, client, desk, roster} = this.options;
    const sentAt = clock.now();
    try {
      const answer = await client.sync(address, desk.request(0, place));
      desk.adoptLimits(answer, sentAt);
    } catch (error) {
      roster.noteFailure(name, String(error));
    }
  }
}
