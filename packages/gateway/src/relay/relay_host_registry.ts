import type {Clock, RandomSource} from '@bayspool/kernel';
import type {HostDirectory} from '../peers/host_directory.js';
import {RelayHost} from './relay_host.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hostDirectory: HostDirectory;
  /** Region of each place; a place without an entry is in no region. */
  readonly regionOf: Readonly<Record<string, string>>;
}

/** The hosts to which this one can relay calls. */
export class RelayHostRegistry {
  private readonly hosts = new Map<string, RelayHost>();

  constructor(private readonly options: Options) {}

  /**
   * Chooses a host that takes calls now: one of this host's place, or of another place if there is none.
   *
   * @param regions places outside these are left out; undefined if all are allowed
   */
  choose(regions: readonly string[] | undefined): RelayHost | undefined {
    const available = this.list(regions).filter(
      ({unavailableMs, endpoint}) =>
        unavailableMs === 0 && endpoint.pool.hasCapacity,
    );
    const {place} = this.options.hostDirectory.self;
    const near = available.filter(
      ({endpoint}) => endpoint.entry.place === place,
    );
    return this.chooseLessLoaded(near.length > 0 ? near : available);
  }

  /** Time until one of the hosts takes calls again, in ms; undefined if there is no host. */
  computeWaitMs(regions: readonly string[] | undefined): number | undefined {
    const waits = this.list(regions).map(({unavailableMs}) => unavailableMs);
    return waits.length > 0 ? Math.min(...waits) : undefined;
  }

  /** Closes connections that have been idle for too long, and those to hosts that are gone. */
  closeExpired(): void {
    const live = new Set(
      this.options.hostDirectory.listLive().map(({name}) => name),
    );
    for (const [name, {endpoint}] of this.hosts) {
      endpoint.pool.closeExpired();
      if (live.has(name)) continue;
      endpoint.retire();
      this.hosts.delete(name);
    }
  }

  private list(regions: readonly string[] | undefined): RelayHost[] {
    const {hostDirectory, regionOf} = this.options;
    const {self} = hostDirectory;
    const places = [self.place, ...hostDirectory.listOtherPlaces()];
    const found: RelayHost[] = [];
    for (const place of places) {
      if (regions && !regions.includes(regionOf[place])) continue;
      // Those that did not respond to this host a moment ago are left out.
      for (const entry of hostDirectory.listReaderCandidates(place)) {
        const {name, relayAddress} = entry;
        if (name === self.name || relayAddress === undefined) continue;
        found.push(this.get(entry, relayAddress));
      }
    }
    return found;
  }

  private get(
    entry: ConstructorParameters<typeof RelayHost>[0]['entry'],
    address: string,
  ): RelayHost {
    const known = this.hosts.get(entry.name);
    // A host that answered 421 counts as replaced, so its connections are not kept.
    if (known?.address === address && !known.endpoint.isReplaced) return known;
    known?.endpoint.retire();
    const {clock} = this.options;
    const host = new RelayHost({clock, entry, address});
    this.hosts.set(entry.name, host);
    return host;
  }

  private chooseLessLoaded(hosts: readonly RelayHost[]): RelayHost | undefined {
    if (hosts.length === 0) return undefined;
    const {random} = this.options;
    const first = hosts[random.below(hosts.length)];
    const second = hosts[random.below(hosts.length)];
    const isFirstBusier =
      first.endpoint.totalRunning > second.endpoint.totalRunning;
    return isFirstBusier ? second : first;
  }
}
