import type {Clock} from '@bayspool/kernel';
import type {HostLimits} from '../parts/host_limits.js';
import type {Topic} from '../records/topic.js';
import type {StoreHealth} from '../records/store_health.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {LoadDigestRegistry} from './load_digest_registry.js';
import type {LoadDigest} from './load_digest.js';
import type {HostDirectory} from './host_directory.js';
import type {SyncResponse} from './sync_response.js';
import type {SyncRequest} from './sync_request.js';

interface Options {
  readonly clock: Clock;
  readonly mirrors: readonly TopicMirror[];
  /** The copy whose age others need to know at once. */
  readonly freshnessMirror: TopicMirror;
  readonly loadDigests: LoadDigestRegistry;
  readonly limits: HostLimits;
  readonly hostDirectory: HostDirectory;
  /** Whether the store answers this host. */
  readonly storeHealth: StoreHealth;
}

/** Stands for what hosts elsewhere need not be told; hosts of an earlier version need it there. */
const EMPTY_DIGEST: LoadDigest = {runners: {}, rollouts: {}};
/** Least time for which a host that asks waits to be told of loads, in ms, so that others that ask now are heard too. */
const MIN_PUBLISH_DELAY_MS = 60;
/** Time in which news is gathered before those who wait are answered, in ms. */
const BATCH_MS = 15;

/**
 * Pause between two rounds in which those who wait are told what others have, in ms. Proofs come from the store and from each
 * other place, faster than hosts can be told of each one; loads grow too old for choices at some tenths of a second more.
 */
const PUBLISH_INTERVAL_MS = 300;

/** Answers hosts that ask for news, and takes in what others answer. */
export class SyncProtocol {
  private readonly longPolls = new Set<() => void>();
  private isCompletionScheduled = false;
  private isPublishScheduled = false;
  private publishedAt = -Infinity;

  constructor(private readonly options: Options) {
    for (const mirror of options.mirrors)
      mirror.onUpdate(() => this.completeLongPolls());
    options.freshnessMirror.onProof(() => this.publishProof());
    options.hostDirectory.onPlaceLost(() => this.completeLongPolls());
  }

  /** Answers a host, at once if there is news for it, else within the time that it waits. */
  async answerRequest(request: SyncRequest): Promise<SyncResponse> {
    const {loadDigests: board, limits, hostDirectory: roster} = this.options;
    const {self} = roster;
    const {from, digest} = request;
    roster.recordRequest(from);
    limits.take(request.limits ?? [], 0);
    if (from.place === self.place) board.recordHost(from.name, digest);
    if (request.waitMs > 0 && !this.hasChanges(request))
      await this.waitForChanges(request.waitMs);
    return {
      topics: this.collectTopics(request),
      place: self.place,
      isLoading: this.isLoading || undefined,
      loads: board.sumFor(from.place),
      limits: limits.news(),
      lostPlaces:
        from.place === self.place
          ? [...roster.findObservedLostPlaces()]
          : undefined,
    };
  }

  /**
   * The request that this host sends to one of a place; undefined where the place is not known. Other
   * places are told of this one by its reader, so what this host has is left out there.
   */
  request(waitMs: number, place?: string): SyncRequest {
    const {
      mirrors,
      loadDigests: board,
      limits,
      hostDirectory: roster,
    } = this.options;
    const isInside = place === roster.self.place;
    const loaded = mirrors.filter(mirror => mirror.isLoaded);
    return {
      from: roster.self,
      positions: Object.fromEntries(
        loaded.map(({topic, next}) => [topic, next]),
      ),
      digest: isInside ? board.own() : EMPTY_DIGEST,
      limits: limits.news(),
      waitMs,
    };
  }

  /** Takes in an answer to a request sent at `sentAt`: ages count from then, so never too young. */
  applyResponse(answer: SyncResponse, sentAt: number): void {
    const {loadDigests: board, hostDirectory: roster} = this.options;
    this.applyTopics(answer, sentAt);
    this.applyLimits(answer, sentAt);
    if (answer.place !== roster.self.place)
      return board.recordPlace(answer.place, answer.loads);
    board.recordFleet(answer.loads);
    roster.recordReportedLost(answer.lostPlaces ?? [], 'a host of this place');
  }

  /** Takes in what an answer says of limits that runners name. */
  applyLimits({limits = []}: SyncResponse, sentAt: number): void {
    const sinceMs = this.options.clock.now() - sentAt;
    this.options.limits.take(limits, sinceMs);
  }

  /** A runner is in need: hosts that wait for news are told at once. */
  publishLimits(): void {
    this.completeLongPolls();
  }

  /** Takes in what an answer says of the store, and nothing of what hosts have and saw. */
  applyTopics(answer: SyncResponse, sentAt: number): void {
    for (const mirror of this.options.mirrors)
      this.applyTopic(mirror, answer, sentAt);
  }

  private applyTopic(
    mirror: TopicMirror,
    answer: SyncResponse,
    sentAt: number,
  ): void {
    const news = answer.topics[mirror.topic];
    if (!news || news.ageMs === undefined) return;
    const asOf = sentAt - news.ageMs;
    const {records, next, isReplacement} = news;
    if (mirror.isLoaded && next < mirror.next) return;
    const page = {records, next, isWhole: true};
    if (!mirror.isLoaded || isReplacement) mirror.load(page, asOf);
    else mirror.extend(page, asOf);
  }

  private get isLoading(): boolean {
    const {mirrors, storeHealth: health} = this.options;
    return !health.isLost && mirrors.some(mirror => !mirror.isLoaded);
  }

  private collectTopics(request: SyncRequest): SyncResponse['topics'] {
    const {mirrors, clock} = this.options;
    const loaded = mirrors.filter(mirror => mirror.isLoaded);
    return Object.fromEntries(
      loaded.map(mirror => [
        mirror.topic,
        {
          ...mirror.newsSince(request.positions[mirror.topic] ?? 0),
          next: mirror.next,
          ageMs: Math.max(0, Math.round(clock.now() - mirror.provenAt)),
        },
      ]),
    );
  }

  private hasChanges({positions, limits = []}: SyncRequest): boolean {
    if (this.options.limits.isUrgentFor(limits)) return true;
    return this.options.mirrors.some(
      mirror =>
        mirror.isLoaded &&
        mirror.next > (positions[mirror.topic as Topic] ?? 0),
    );
  }

  private waitForChanges(waitMs: number): Promise<void> {
    this.schedulePublish();
    return new Promise(resolve => {
      const timer = this.options.clock.after(waitMs, finish);
      const {longPolls: waiting} = this;
      waiting.add(finish);
      function finish(): void {
        timer.cancel();
        waiting.delete(finish);
        resolve();
      }
    });
  }

  /** Those who wait are answered together, so that each hears of what the others told just before. */
  private schedulePublish(): void {
    if (this.isPublishScheduled) return;
    this.isPublishScheduled = true;
    const {clock} = this.options;
    const pauseMs = this.publishedAt + PUBLISH_INTERVAL_MS - clock.now();
    clock.after(Math.max(MIN_PUBLISH_DELAY_MS, pauseMs), () => {
      this.isPublishScheduled = false;
      this.publish();
    });
  }

  private publish(): void {
    this.publishedAt = this.options.clock.now();
    this.completeLongPolls();
  }

  /** Proofs come from the store and from each other place; the hosts that wait are told of some of them. */
  private publishProof(): void {
    if (this.options.clock.now() - this.publishedAt >= PUBLISH_INTERVAL_MS)
      this.publish();
  }

  private completeLongPolls(): void {
    if (this.isCompletionScheduled || this.longPolls.size === 0) return;
    this.isCompletionScheduled = true;
    this.options.clock.after(BATCH_MS, () => {
      this.isCompletionScheduled = false;
      for (const finish of [...this.longPolls]) finish();
    });
  }
}
