import type {ClaimRecord, Membership} from '@bayspool/decisions';
import type {HostIdentity} from '../../host/host_identity.js';
import type {PeerClient} from '../../peers/peer_client.js';
import type {AnswerHome} from './answer_home.js';
import {answerMethods} from './answer_methods.js';
import type {ClaimKeeper} from './claim_keeper.js';
import {keyProblems} from './key_problems.js';
import type {VacantPlaceClaims} from './vacant_place_claims.js';

interface Options {
  readonly identity: HostIdentity;
  readonly membership: Membership;
  readonly client: PeerClient;
  readonly home: AnswerHome;
  readonly claims: ClaimKeeper;
  readonly vacantClaims: VacantPlaceClaims;
}

/** Who may run the call with a caller's own key, and whether a key was used where that cannot be told. */
export class KeyClaims {
  constructor(private readonly options: Options) {}

  /** The claim that won a key of the own place; fails as not run only if no host can have run it. */
  async claim(key: string): Promise<ClaimRecord> {
    try {
      return await this.options.claims.claim(key);
    } catch (error) {
      throw (await this.isUnused(key))
        ? error
        : keyProblems.earlierUseUnknown(error);
    }
  }

  /**
   * The claim that won a key of a place that no host was ever heard of. Hosts of any place claim such
   * keys. Which of them used a key is known from the log alone, so without it nobody can say that the key
   * was not used.
   */
  async claimVacant(place: string, key: string): Promise<ClaimRecord> {
    try {
      return await this.options.vacantClaims.claim(place, key);
    } catch (error) {
      throw keyProblems.earlierUseUnknown(error);
    }
  }

  /** Whether this host knows of a use of the key. */
  knows(key: string): boolean {
    const {claims, vacantClaims, home} = this.options;
    return (
      claims.knows(key) || vacantClaims.knows(key) || home.memory.hasKey(key)
    );
  }

  /**
   * Whether no host of the place can have run a call with this key. A host dispatches
   * only after it has read its claim back, so hosts that all answer have all been asked.
   */
  private async isUnused(key: string): Promise<boolean> {
    const {membership, client, identity} = this.options;
    if (this.knows(key)) return false;
    const others = membership
      .listKnown()
      .filter(entry => entry.id !== identity.id);
    const replies = await Promise.all(
      others.map(entry =>
        client
          .call(entry.address, answerMethods.unused, {key})
          .catch(() => false),
      ),
    );
    return replies.every(reply => reply === true);
  }
}
