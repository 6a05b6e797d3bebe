import type {Clock} from '@bayspool/kernel';
import type {HostEntry} from '../peers/host_entry.js';
import {ConnectTimeout} from '../runners/connect_timeout.js';
import {ConnectionPool} from '../runners/connection_pool.js';
import {Runner} from '../runners/runner.js';

interface Options {
  readonly clock: Clock;
  readonly entry: HostEntry;
  /** IP:PORT for relayed calls. */
  readonly address: string;
}

/** Maximum number of connections to another host: each carries one call. */
const MAX_CONNECTIONS = 200;

/** Another host as a destination of calls that this one relays. */
export class RelayHost {
  /** The other host in the role of a runner: its connections and the calls that it has from this host. */
  readonly endpoint: Runner;
  private unavailableUntil = -Infinity;

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
}
