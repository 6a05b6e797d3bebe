import type {HostState, VersionRatings} from '@bayspool/decisions';
import type {HostIdentity} from '../host/host_identity.js';

/** The part that a plugin contributes to this host's state. */
interface Contribution {
  readonly offset?: number;
  readonly leaving?: boolean;
  readonly running?: Record<string, number>;
  readonly demand?: Record<string, number>;
  readonly evidence?: Record<string, VersionRatings>;
  readonly suspects?: string[];
}

/** Assembles this host's own state; its sequence number increases when the content changes. */
export class LocalHostState {
  private readonly contributors: (() => Contribution)[] = [];
  private sequence = 0;
  private incarnation: number;
  private lastContent = '';

  constructor(private readonly identity: HostIdentity) {
    this.incarnation = identity.incarnation;
  }

  addContributor(contributor: () => Contribution): void {
    this.contributors.push(contributor);
  }

  /** Raises the incarnation above a later one of this host that a peer knows. */
  raiseIncarnationAbove(incarnation: number): void {
    if (incarnation > this.incarnation) this.incarnation = incarnation + 1;
  }

  createState(): HostState {
    const {id, place, boot, peerAddress} = this.identity;
    const parts: Contribution = Object.assign(
      {},
      ...this.contributors.map(contributor => contributor()),
    );
    const content = {
      id,
      place,
      boot,
      address: peerAddress,
      incarnation: this.incarnation,
      offset: parts.offset ?? -1,
      leaving: parts.leaving ?? false,
      running: parts.running ?? {},
      demand: parts.demand ?? {},
      evidence: parts.evidence ?? {},
      suspects: parts.suspects ?? [],
    };
    const text = JSON.stringify(content);
    if (text !== this.lastContent) this.sequence++;
    this.lastContent = text;
    return {...content, sequence: this.sequence};
  }
}
