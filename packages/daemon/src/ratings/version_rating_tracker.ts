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
  /** A rating that has not arrived after this time counts as lost, in ms. */
  readonly lostAfterMs: number;
}

interface StageCounts {
  readonly stage: string;
  good: number;
  bad: number;
  /** When each answer that has no rating yet was sent, by request id. */
  readonly unrated: Map<string, number>;
}

/** Counts this host's ratings of each version and enforces its share of the exposure budgets. */
export class VersionRatingTracker {
  private readonly countsByVersion = new Map<string, StageCounts>();

  constructor(private readonly options: Options) {}

  /** Whether a version in rollout may send another answer before its earlier ones are rated. */
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

  /** Removes an answer that no rating will arrive for, as it was not completed or could not be submitted. */
  cancelExposure(version: string, requestId: string): void {
    this.getCurrentCounts(version).unrated.delete(requestId);
  }

  recordRating(version: string, requestId: string, good: boolean): void {
    const counts = this.getCurrentCounts(version);
    const wasExposed = counts.unrated.delete(requestId);
    if (!wasExposed) return;
    if (good) counts.good++;
    else counts.bad++;
  }

  /** Creates the summary that is gossiped to the other hosts. */
  createSummary(): Record<string, VersionRatings> {
    const versions = [...this.countsByVersion.keys()].map(version => {
      const {stage, good, bad, unrated} = this.getCurrentCounts(version);
      return [version, {stage, good, bad, open: unrated.size}] as const;
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
    const expiredBefore = this.options.clock.now() - this.options.lostAfterMs;
    for (const [requestId, sentAt] of counts.unrated) {
      if (sentAt > expiredBefore) break;
      counts.unrated.delete(requestId);
    }
  }
}
