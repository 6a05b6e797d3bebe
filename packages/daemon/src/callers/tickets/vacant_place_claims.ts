import type {ClaimRecord} from '@bayspool/decisions';
import type {Service} from '@bayspool/kernel';
import type {ClaimLog} from './claim_log.js';

interface Options {
  /** Creates the claim log of a place. */
  readonly createClaimLog: (place: string) => ClaimLog;
}

/**
 * Claims keys of places that have no host. Any host may claim them: the order of the place's log stream
 * decides between claims, and a host that joins the place later reads the stream from its beginning.
 */
export class VacantPlaceClaims implements Service {
  readonly name = 'claims of vacant places';
  private readonly logByPlace = new Map<string, ClaimLog>();

  constructor(private readonly options: Options) {}

  /** Claims a key in the log stream of a place. */
  async claim(place: string, key: string): Promise<ClaimRecord> {
    return (await this.getOrCreateLog(place)).claim(key);
  }

  /** Whether the key is claimed, as far as this host has read the log. */
  hasClaim(key: string): boolean {
    return [...this.logByPlace.values()].some(claimLog =>
      claimLog.hasClaim(key),
    );
  }

  /** Does nothing: the stream of a place is only read once a key of that place is claimed. */
  async start(): Promise<void> {}

  /** Stops reading the streams of all places. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.logByPlace.values()].map(claimLog => claimLog.stop()),
    );
  }

  private async getOrCreateLog(place: string): Promise<ClaimLog> {
    const known = this.logByPlace.get(place);
    if (known) return known;
    const claimLog = this.options.createClaimLog(place);
    this.logByPlace.set(place, claimLog);
    await claimLog.start();
    return claimLog;
  }
}
