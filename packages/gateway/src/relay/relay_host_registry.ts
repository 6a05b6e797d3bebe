import {getOwn} from '@bayspool/kernel';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {HostDirectory} from '../peers/host_directory.js';
import {RunnerProbe} from '../runners/runner_probe.js';
import {TcpDialer} from '../runners/tcp_dialer.js';
import {RelayHost} from './relay_host.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hostDirectory: HostDirectory;
  /** Region of each place; a place without an entry is in no region. */
  readonly regionOf: Readonly<Record<string, string>>;
}

/** Without a request id, so that any response shows that the host lives. */
const PROBE_PATH = '/';
/** How long a host that takes no relayed calls is left out, in ms. */
const REFUSED_MS = 300;
/** Refusals in a row by hosts of a place after which hosts of other places are preferred. */
const MAX_REFUSALS_IN_A_ROW = 2;
/** How long they are preferred, in ms. */
const PLACE_REFUSED_MS = 1_000;

/** What the hosts of a place last answered to relayed calls. */
interface PlaceRefusals {
  inARow: number;
  /** Until when hosts of other places are preferred, on this host's clock. */
  refusedUntil: number;
}

/** The hosts to which this one can relay calls. */
export class RelayHostRegistry {
  private readonly hosts = new Map<string, RelayHost>();
  private readonly refusalsByPlace = new Map<string, PlaceRefusals>();

  private readonly probe: RunnerProbe;

  constructor(private readonly options: Options) {
    this.probe = new RunnerProbe({
      clock: options.clock,
      dialer: new TcpDialer(),
      healthPathOf: () => PROBE_PATH,
    });
  }

  /**
   * Chooses a host that takes calls now: one of this host's place, or of another place if there is none, or if those
   * asked last have refused.
   *
   * @param regions places outside these are left out; undefined if all are allowed
   */
  choose(regions: readonly string[] | undefined): RelayHost | undefined {
    const available = this.list(regions).filter(
      ({unavailableMs, isUnresponsive, endpoint}) =>
        unavailableMs === 0 && !isUnresponsive && endpoint.pool.hasCapacity,
    );
    const {place} = this.options.hostDirectory.self;
    const near = available.filter(host => host.place === place);
    const willing = available.filter(host => !this.isRefused(host.place));
    const preferred = [near.filter(host => willing.includes(host)), willing];
    const hosts = preferred.find(({length}) => length > 0) ?? available;
    return this.chooseLessLoaded(hosts);
  }

  /** Notes that a host refused a call, as it takes none now. */
  noteRefused(host: RelayHost): void {
    host.noteUnavailable(REFUSED_MS);
    const refusals = this.refusalsOf(host.place);
    refusals.inARow += 1;
    if (refusals.inARow < MAX_REFUSALS_IN_A_ROW) return;
    refusals.inARow = 0;
    refusals.refusedUntil = this.options.clock.now() + PLACE_REFUSED_MS;
  }

  /** Notes that a host took a call. */
  noteTaken({place}: RelayHost): void {
    this.refusalsOf(place).inARow = 0;
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

  private isRefused(place: string): boolean {
    return this.options.clock.now() < this.refusalsOf(place).refusedUntil;
  }

  private refusalsOf(place: string): PlaceRefusals {
    const known = this.refusalsByPlace.get(place);
    if (known) return known;
    const refusals = {inARow: 0, refusedUntil: -Infinity};
    this.refusalsByPlace.set(place, refusals);
    return refusals;
  }

  private list(regions: readonly string[] | undefined): RelayHost[] {
    const {hostDirectory, regionOf} = this.options;
    const {self} = hostDirectory;
    const places = [self.place, ...hostDirectory.listOtherPlaces()];
    const found: RelayHost[] = [];
    for (const place of places) {
      const region = getOwn(regionOf, place);
      if (regions && (!region || !regions.includes(region))) continue;
      // Those that did not respond to this host a moment ago are left out.
      for (const entry of hostDirectory.listReaderCandidates(place)) {
        const {name, relayAddress} = entry;
        if (name === self.name || relayAddress === undefined) continue;
        const host = this.get(entry, relayAddress);
        host.review();
        found.push(host);
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
    const {probe} = this;
    const host = new RelayHost({clock, entry, address, probe});
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
