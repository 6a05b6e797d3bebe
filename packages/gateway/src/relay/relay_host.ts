import type {Clock} from '@bayspool/kernel';
import type {HostEntry} from '../peers/host_entry.js';
import {ConnectTimeout} from '../runners/connect_timeout.js';
import {ConnectionPool} from '../runners/connection_pool.js';
import {Runner} from '../runners/runner.js';
import type {RunnerProbe} from '../runners/runner_probe.js';

interface Options {
  readonly clock: Clock;
  readonly entry: HostEntry;
  /** IP:PORT for relayed calls. */
  readonly address: string;
  /** Finds out whether the other host responds at all. */
  readonly probe: RunnerProbe;
}

/** Maximum number of connections to another host: each carries one call. */
const MAX_CONNECTIONS = 200;
/** Silence on all connections with calls after which the host is probed, in ms. */
const SILENT_MS = 200;
/** Time between two probes, in ms. */
const PROBE_INTERVAL_MS = 250;

/** Another host as a destination of calls that this one relays. */
export class RelayHost {
  /** The other host in the role of a runner: its connections and the calls that it has from this host. */
  readonly endpoint: Runner;
  private unavailableUntil = -Infinity;
  private probedAt = -Infinity;
  private unresponsive = false;

  constructor(private readonly options: Options) {
    const {clock, entry, address} = options;
    const pool = new ConnectionPool({
      clock,
      address,
      connectTimeout: new ConnectTimeout(),
      maxConnections: () => MAX_CONNECTIONS,
    });
    const {name: id, place} = entry;
    const role = {service: '', version: '', slots: MAX_CONNECTIONS};
    this.endpoint = new Runner({
      clock,
      pool,
      entry: {id, place, address, isDraining: false, ...role},
    });
  }

  get name(): string {
    return this.options.entry.name;
  }

  get place(): string {
    return this.options.entry.place;
  }

  get address(): string {
    return this.options.address;
  }

  /** Time until calls may be relayed there again, in ms; 0 if they may now. */
  get unavailableMs(): number {
    return Math.max(0, this.unavailableUntil - this.options.clock.now());
  }

  /** Leaves the host out for a time, in ms. */
  noteUnavailable(forMs: number): void {
    this.unavailableUntil = this.options.clock.now() + forMs;
  }

  /** Whether the host did not respond to the last probe, which was sent as its calls brought nothing. */
  get isUnresponsive(): boolean {
    return this.unresponsive;
  }

  /**
   * Probes the host if it is silent or did not respond to the last probe: a call that brings nothing may wait for a
   * runner behind it.
   */
  review(): void {
    const now = this.options.clock.now();
    const isSilent = now - this.endpoint.silentSince > SILENT_MS;
    if (!isSilent && !this.unresponsive) return;
    if (now - this.probedAt < PROBE_INTERVAL_MS) return;
    this.probedAt = now;
    void this.options.probe.probe(this.endpoint).then(hasResponded => {
      this.unresponsive = !hasResponded;
    });
  }
}
