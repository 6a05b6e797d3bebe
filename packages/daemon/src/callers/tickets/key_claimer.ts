import type {ClaimRecord, Membership} from '@bayspool/decisions';
import type {HostIdentity} from '../../host/host_identity.js';
import type {PeerClient} from '../../peers/peer_client.js';
import type {KeyedCallRunner} from './keyed_call_runner.js';
import {keyedCallMethods} from './keyed_call_methods.js';
import type {ClaimLog} from './claim_log.js';
import {keyFailures} from './key_failures.js';
import type {VacantPlaceClaims} from './vacant_place_claims.js';

interface Options {
  readonly identity: HostIdentity;
  readonly membership: Membership;
  readonly client: PeerClient;
  readonly callRunner: KeyedCallRunner;
  readonly claimLog: ClaimLog;
  readonly vacantPlaceClaims: VacantPlaceClaims;
}

/** Who may run the call with a caller's own key, and whether a key was used where that cannot be told. */
export class KeyClaimer {
  constructor(private readonly options: Options) {}

  /** The claim that won a key of the own place; fails as not run only if no host can have run it. */
  async claim(key: string): Promise<ClaimRecord> {
    try {
      return await this.options.claimLog.claim(key);
    } catch (error) {
      throw (await this.isUnusedInPlace(key))
        ? error
        : keyFailures.createEarlierUseUnknownFailure(error);
    }
  }

  /**
   * The claim that won a key of a place that no host was ever heard of. Hosts of any place claim such
   * keys. Which of them used a key is known from the log alone, so without it nobody can say that the key
   * was not used.
   */
  async claimVacant(place: string, key: string): Promise<ClaimRecord> {
    try {
      return await this.options.vacantPlaceClaims.claim(place, key);
    } catch (error) {
      throw keyFailures.createEarlierUseUnknownFailure(error);
    }
  }

  /** Whether this host knows of a use of the key. */
  hasSeen(key: string): boolean {
    const {
      claimLog: claims,
      vacantPlaceClaims: vacantClaims,
      callRunner: home,
    } = this.options;
    return (
      claims.hasClaim(key) ||
      vacantClaims.hasClaim(key) ||
      home.cache.hasKey(key)
    );
  }

  /**
   * Whether no host of the place can have run a call with this key. A host dispatches
   * only after it has read its claim back, so hosts that all answer have all been asked.
   */
  private async isUnusedInPlace(key: string): Promise<boolean> {
    const {membership, client, identity} = this.options;
    if (this.hasSeen(key)) return false;
    const others = membership
      .listKnown()
      .filter(entry => entry.id !== identity.id);
    const replies = await Promise.all(
      others.map(entry =>
        client
          .call(entry.address, keyedCallMethods.unused, {key})
          .catch(() => false),
      ),
    );
    return replies.every(reply => reply === true);
  }
}
