import {
  computeExposureQuota,
  type Membership,
  type Version,
  type VersionRatings,
} from '@bayspool/decisions';
import type {Clock} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import {versionStage} from './version_stage.js';

interface Options {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly self: string;
  /** A rating that did not come for this long counts as lost, in ms. */
  readonly lostAfterMs: number;
}

interface Counts {
  readonly stage: string;
  good: number;
  bad: number;
  /** When each answer without a rating was given out, by request. */
  readonly open: Map<string, number>;
}

/** This host's ratings of each version, and its part of the exposure budgets. */
export class EvidenceBook {
  private readonly counts = new Map<string, Counts>();

  constructor(private readonly options: Options) {}

  /** Whether another answer of a version that rolls out may go out without a rating. */
  mayExpose(version: Version): boolean {
    if (!version.rollOut) return true;
    const {membership, self} = this.options;
    const hosts = membership.listAllHosts().map(host => host.id);
    const quota = computeExposureQuota({
      exposure: version.rollOut.exposure,
      version: version.id,
      self,
      hosts,
    });
    return this.countsOf(version.id).open.size < quota;
  }

  opened(version: string, requestId: string): void {
    this.countsOf(version).open.set(requestId, this.options.clock.now());
  }

  /** The answer never came to be, so there will be no rating. */
  dropped(version: string, requestId: string): void {
    this.countsOf(version).open.delete(requestId);
  }

  rated(version: string, requestId: string, good: boolean): void {
    const counts = this.countsOf(version);
    const expected = counts.open.delete(requestId);
    if (!expected) return;
    if (good) counts.good++;
    else counts.bad++;
  }

  /** What the other hosts are told. */
  summary(): Record<string, VersionRatings> {
    const versions = [...this.counts.keys()].map(version => {
      const {stage, good, bad, open} = this.countsOf(version);
      return [version, {stage, good, bad, open: open.size}] as const;
    });
    return Object.fromEntries(versions);
  }

  private countsOf(version: string): Counts {
    const stage = versionStage(this.options.store.current, version);
    let counts = this.counts.get(version);
    if (!counts || counts.stage !== stage) {
      counts = {stage, good: 0, bad: 0, open: new Map()};
      this.counts.set(version, counts);
    }
    this.expire(counts);
    return counts;
  }

  private expire(counts: Counts): void {
    const oldest = this.options.clock.now() - this.options.lostAfterMs;
    for (const [requestId, since] of counts.open) {
      if (since > oldest) break;
      counts.open.delete(requestId);
    }
  }
}
