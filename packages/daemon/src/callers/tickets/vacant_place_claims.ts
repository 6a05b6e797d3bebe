import type {ClaimRecord} from '@bayspool/decisions';
import type {Service} from '@bayspool/kernel';
import type {ClaimLog} from './claim_log.js';

interface Options {
  /** Makes a keeper of the claims of a place. */
  readonly createClaimLog: (place: string) => ClaimLog;
}

/**
 * Claims keys of places that have no host. Any host may: the order of the place's stream in the log
 * decides between claims, and a host that joins the place later reads the stream from its beginning.
 */
export class VacantPlaceClaims implements Service {
  readonly name = 'claims of vacant places';
  private readonly logByPlace = new Map<string, ClaimLog>();

  constructor(private readonly options: Options) {}

  /** Claims a key in the stream of a place. */
  async claim(place: string, key: string): Promise<ClaimRecord> {
    return (await this.getOrCreateLog(place)).claim(key);
  }

  /** Whether the key was claimed, as far as this host has read. */
  hasClaim(key: string): boolean {
    return [...this.logByPlace.values()].some(keeper => keeper.hasClaim(key));
  }

  /** Nothing to do: a place's stream is read from its first claim on. */
  async start(): Promise<void> {}

  /** Stops reading the streams of all places. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.logByPlace.values()].map(keeper => keeper.stop()),
    );
  }

  private async getOrCreateLog(place: string): Promise<ClaimLog> {
    const known = this.logByPlace.get(place);
    if (known) return known;
    const keeper = this.options.createClaimLog(place);
    this.logByPlace.set(place, keeper);
    await keeper.start();
    return keeper;
  }
}
