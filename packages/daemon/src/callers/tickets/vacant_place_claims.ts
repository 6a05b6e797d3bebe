import type {ClaimRecord} from '@bayspool/decisions';
import type {Service} from '@bayspool/kernel';
import type {ClaimKeeper} from './claim_keeper.js';

interface Options {
  /** Makes a keeper of the claims of a place. */
  readonly createKeeper: (place: string) => ClaimKeeper;
}

/**
 * Claims keys of places that have no host. Any host may: the order of the place's stream in the log
 * decides between claims, and a host that joins the place later reads the stream from its beginning.
 */
export class VacantPlaceClaims implements Service {
  readonly name = 'claims of vacant places';
  private readonly keepers = new Map<string, ClaimKeeper>();

  constructor(private readonly options: Options) {}

  /** Claims a key in the stream of a place. */
  async claim(place: string, key: string): Promise<ClaimRecord> {
    return (await this.keeperOf(place)).claim(key);
  }

  /** Whether the key was claimed, as far as this host has read. */
  knows(key: string): boolean {
    return [...this.keepers.values()].some(keeper => keeper.knows(key));
  }

  /** Nothing to do: a place's stream is read from its first claim on. */
  async start(): Promise<void> {}

  /** Stops reading the streams of all places. */
  async stop(): Promise<void> {
    await Promise.all([...this.keepers.values()].map(keeper => keeper.stop()));
  }

  private async keeperOf(place: string): Promise<ClaimKeeper> {
    const known = this.keepers.get(place);
    if (known) return known;
    const keeper = this.options.createKeeper(place);
    this.keepers.set(place, keeper);
    await keeper.start();
    return keeper;
  }
}
