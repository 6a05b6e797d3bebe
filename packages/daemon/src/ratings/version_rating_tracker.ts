import {
  computeExposureQuota,
  type Membership,
  type Version,
  type VersionRatings,
} from '@bayspool/decisions';
import type {Clock} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import {getVersionStage} from './get_version_stage.js';

interface Options {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly self: string;
  /** A rating that did not come for this long counts as lost, in ms. */
  readonly lostAfterMs: number;
}

interface StageCounts {
  readonly stage: string;
  good: number;
  bad: number;
  /** When each answer without a rating was given out, by request. */
  readonly unrated: Map<string, number>;
}

/** This host's ratings of each version, and its part of the exposure budgets. */
export class VersionRatingTracker {
  private readonly countsByVersion = new Map<string, StageCounts>();

  constructor(private readonly options: Options) {}

  /** Whether another answer of a version that rolls out may go out without a rating. */
  hasExposureBudget(version: Version): boolean {
    if (!version.rollOut) return true;
    const {membership, self} = this.options;
    const hosts = membership.listAllHosts().map(host => host.id);
    const quota = computeExposureQuota({
      exposure: version.rollOut.exposure,
      version: version.id,
      self,
      hosts,
    });
    return this.getCurrentCounts(version.id).unrated.size < quota;
  }

  recordExposure(version: string, requestId: string): void {
    this.getCurrentCounts(version).unrated.set(
      requestId,
      this.options.clock.now(),
    );
  }

  /** The answer never came to be, so there will be no rating. */
  cancelExposure(version: string, requestId: string): void {
    this.getCurrentCounts(version).unrated.delete(requestId);
  }

  recordRating(version: string, requestId: string, good: boolean): void {
    const counts = this.getCurrentCounts(version);
    const expected = counts.unrated.delete(requestId);
    if (!expected) return;
    if (good) counts.good++;
    else counts.bad++;
  }

  /** What the other hosts are told. */
  createSummary(): Record<string, VersionRatings> {
    const versions = [...this.countsByVersion.keys()].map(version => {
      const {stage, good, bad, unrated: open} = this.getCurrentCounts(version);
      return [version, {stage, good, bad, open: open.size}] as const;
    });
    return Object.fromEntries(versions);
  }

  private getCurrentCounts(version: string): StageCounts {
    const stage = getVersionStage(this.options.store.current, version);
    let counts = this.countsByVersion.get(version);
    if (!counts || counts.stage !== stage) {
      counts = {stage, good: 0, bad: 0, unrated: new Map()};
      this.countsByVersion.set(version, counts);
    }
    this.expireUnrated(counts);
    return counts;
  }

  private expireUnrated(counts: StageCounts): void {
    const oldest = this.options.clock.now() - this.options.lostAfterMs;
    for (const [requestId, since] of counts.unrated) {
      if (since > oldest) break;
      counts.unrated.delete(requestId);
    }
  }
}
