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

/** Claims callers' own keys, and finds out whether a key may have been used when the log is unavailable. */
export class KeyClaimer {
  constructor(private readonly options: Options) {}

  /** Returns the winning claim on a key of the own place; fails as not run only if no host can have run the call. */
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
   * Returns the winning claim on a key of a place that no host was ever seen in. Hosts of any place may
   * claim such keys, so only the log tells whether one of them used a key; without the log no host can
   * rule it out.
   */
  async claimVacant(place: string, key: string): Promise<ClaimRecord> {
    try {
      return await this.options.vacantPlaceClaims.claim(place, key);
    } catch (error) {
      throw keyFailures.createEarlierUseUnknownFailure(error);
    }
  }

  /** Whether this host has seen a claim or a use of the key. */
  hasSeen(key: string): boolean {
    const {claimLog, vacantPlaceClaims, callRunner} = this.options;
    return (
      claimLog.hasClaim(key) ||
      vacantPlaceClaims.hasClaim(key) ||
      callRunner.cache.hasKey(key)
    );
  }

  /**
   * Whether no host of the place can have run a call with this key. A host dispatches a
   * call only after reading its own claim back, so it is enough that every host of the place replies.
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
