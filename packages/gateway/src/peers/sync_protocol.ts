import type {Clock} from '@bayspool/kernel';
import type {DeclaredLimitExchange} from '../host/declared_limit_exchange.js';
import type {DurationExchange} from '../host/duration_exchange.js';
import type {LeavingExchange} from '../host/leaving_exchange.js';
import type {Topic} from '../records/topic.js';
import type {StoreHealth} from '../records/store_health.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {LoadDigestRegistry} from './load_digest_registry.js';
import type {LoadDigest} from './load_digest.js';
import type {HostDirectory} from './host_directory.js';
import type {ServingPeers} from './serving_peers.js';
import type {SyncResponse} from './sync_response.js';
import type {SyncRequest} from './sync_request.js';

interface Options {
  readonly clock: Clock;
  readonly mirrors: readonly TopicMirror[];
  /** The mirror whose freshness peers need to learn of promptly. */
  readonly freshnessMirror: TopicMirror;
  readonly loadDigests: LoadDigestRegistry;
  readonly limits: DeclaredLimitExchange;
  readonly leaving: LeavingExchange;
  readonly durations: DurationExchange;
  readonly hostDirectory: HostDirectory;
  readonly servingPeers: ServingPeers;
  /** Whether the store responds to this host. */
  readonly storeHealth: StoreHealth;
}

/** Sent to hosts of other places, which need no digest; hosts of an earlier version require the field. */
const EMPTY_DIGEST: LoadDigest = {runners: {}, rollouts: {}};
/** Minimum time that a host waits for loads, in ms, so that they include those of hosts that poll at the same time. */
const MIN_PUBLISH_DELAY_MS = 60;
/** How long changes are batched before the long polls complete, in ms. */
const BATCH_MS = 15;
/** How long requests are answered at once after a host ceased to take callers, in ms: the pause of a host between two polls. */
const WITHDRAWAL_NEWS_MS = 250;

/**
 * Interval at which loads and proofs of freshness are published to waiting hosts, in ms. Proofs arrive from the store
 * and from each other place, faster than hosts can be notified of each one; with an interval a few tenths of a second
 * longer, loads would be too old for choosing runners.
 */
const PUBLISH_INTERVAL_MS = 300;

/** Creates and answers sync requests, and applies the responses of peers. */
export class SyncProtocol {
  private readonly longPolls = new Set<() => void>();
  private isCompletionScheduled = false;
  private isPublishScheduled = false;
  private publishedAt = -Infinity;
  /** When this host or one that it heard ceased to take callers. */
  private withdrawnAt = -Infinity;
  /** Routes of which the reader of this place asked how long calls take, to be told with the next request to it. */
  private durationsWantedByReader: unknown;

  constructor(private readonly options: Options) {
    for (const mirror of options.mirrors)
      mirror.onUpdate(() => this.completeLongPolls());
    options.freshnessMirror.onFreshnessConfirmed(() => this.publishProof());
    options.hostDirectory.onPlaceLost(() => this.completeLongPolls());
    options.servingPeers.onWithdrawal(() => this.publishWithdrawal());
  }

  /** Answers a request immediately if there are changes for that host, otherwise within its long poll. */
  async answerRequest(request: SyncRequest): Promise<SyncResponse> {
    const {clock, loadDigests, limits, leaving, durations} = this.options;
    const {hostDirectory, servingPeers} = this.options;
    const {self} = hostDirectory;
    const {from, digest} = request;
    hostDirectory.recordRequest(from);
    const readAt = clock.now();
    servingPeers.record(from.name, request, readAt, request.waitMs);
    limits.applyPeerObservations(request.limits ?? [], 0);
    leaving.applyPeerLeaving(request.leaving ?? []);
    durations.applyPeerDurations(request.durations);
    const isSamePlace = from.place === self.place;
    if (isSamePlace) loadDigests.recordHost(from.name, digest);
    if (request.waitMs > 0 && !this.hasChanges(request))
      await this.waitForChanges(request.waitMs);
    return {
      topics: this.collectTopics(request),
      place: self.place,
      isLoading: this.isLoading || undefined,
      loads: loadDigests.sumFor(from.place),
      limits: limits.listObservations(),
      leaving: this.listLeaving(),
      durations: durations.tell(request.wantedDurations),
      wantedDurations: isSamePlace
        ? durations.listWanted(from.name)
        : undefined,
      lostPlaces: isSamePlace
        ? [...hostDirectory.findObservedLostPlaces()]
        : undefined,
      ...servingPeers.stateFor(from),
      heldMs: Math.floor(clock.now() - readAt) || undefined,
    };
  }

  /**
   * Creates the request that this host sends to a peer. Its digest is empty for other places: they get the sum over
   * this place from its reader.
   *
   * @param place the peer's place; undefined if it is not known
   */
  createRequest(waitMs: number, place?: string): SyncRequest {
    const {mirrors, loadDigests, limits, durations, hostDirectory} =
      this.options;
    const isSamePlace = place === hostDirectory.self.place;
    const loaded = mirrors.filter(mirror => mirror.isLoaded);
    return {
      from: hostDirectory.self,
      positions: Object.fromEntries(
        loaded.map(({topic, next}) => [topic, next]),
      ),
      digest: isSamePlace ? loadDigests.reportOwnDigest() : EMPTY_DIGEST,
      limits: limits.listObservations(),
      leaving: this.listLeaving(),
      wantedDurations: durations.listWanted(place),
      durations: isSamePlace ? this.tellReader() : undefined,
      waitMs,
    };
  }

  /** Tells the reader of this place once what it asked for. */
  private tellReader(): SyncRequest['durations'] {
    const wanted = this.durationsWantedByReader;
    this.durationsWantedByReader = undefined;
    return this.options.durations.tell(wanted);
  }

  /** Applies the response to a request sent at `sentAt`. Ages count from then, so that they are never too low. */
  applyResponse(response: SyncResponse, sentAt: number): void {
    const {loadDigests, hostDirectory} = this.options;
    this.applyTopics(response, sentAt);
    this.applyStatements(response, sentAt);
    if (response.place !== hostDirectory.self.place)
      return loadDigests.recordPlace(response.place, response.loads);
    this.durationsWantedByReader = response.wantedDurations;
    loadDigests.recordFleet(response.loads);
    hostDirectory.recordReportedLost(
      response.lostPlaces ?? [],
      'a host of this place',
    );
  }

  /** Applies what a response tells of the statements of runners, and of how long calls take. */
  applyStatements(
    {limits = [], leaving = [], durations}: SyncResponse,
    sentAt: number,
  ): void {
    this.options.durations.applyPeerDurations(durations);
    const sinceMs = this.options.clock.now() - sentAt;
    this.options.limits.applyPeerObservations(limits, sinceMs);
    this.options.leaving.applyPeerLeaving(leaving);
  }

  /** Completes the long polls after a runner's declared limit has changed urgently. */
  publishLimits(): void {
    this.completeLongPolls();
  }

  /** Answers the other hosts at once after this one, or one that it heard, has ceased to take callers. */
  publishWithdrawal(): void {
    this.withdrawnAt = this.options.clock.now();
    this.completeLongPolls();
  }

  /** Applies the topics of a response, but not its loads and statements of runners. */
  applyTopics(response: SyncResponse, sentAt: number): void {
    for (const mirror of this.options.mirrors)
      this.applyTopic(mirror, response, sentAt);
  }

  private applyTopic(
    mirror: TopicMirror,
    response: SyncResponse,
    sentAt: number,
  ): void {
    const delta = response.topics[mirror.topic];
    if (!delta || delta.ageMs === undefined) return;
    const asOf = sentAt - delta.ageMs;
    const {records, next, isReplacement} = delta;
    if (mirror.isLoaded && next < mirror.next) return;
    const page = {records, next, isWhole: true};
    if (!mirror.isLoaded || isReplacement) mirror.load(page, asOf);
    else mirror.extend(page, asOf);
  }

  private listLeaving(): readonly string[] | undefined {
    const incarnations = this.options.leaving.listLeavingIncarnations();
    return incarnations.length > 0 ? incarnations : undefined;
  }

  private get isLoading(): boolean {
    const {mirrors, storeHealth} = this.options;
    return (
      !storeHealth.isUnavailable && mirrors.some(mirror => !mirror.isLoaded)
    );
  }

  private collectTopics(request: SyncRequest): SyncResponse['topics'] {
    const {mirrors, clock} = this.options;
    const loaded = mirrors.filter(mirror => mirror.isLoaded);
    return Object.fromEntries(
      loaded.map(mirror => [
        mirror.topic,
        {
          ...mirror.changesSince(request.positions[mirror.topic] ?? 0),
          next: mirror.next,
          ageMs: Math.max(0, Math.round(clock.now() - mirror.freshAsOf)),
        },
      ]),
    );
  }

  private hasChanges({positions, limits = []}: SyncRequest): boolean {
    const {clock} = this.options;
    if (clock.now() - this.withdrawnAt < WITHDRAWAL_NEWS_MS) return true;
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
      const {longPolls} = this;
      longPolls.add(finish);
      function finish(): void {
        timer.cancel();
        longPolls.delete(finish);
        resolve();
      }
    });
  }

  /** Schedules a joint completion of all long polls, so that each response includes what other hosts just reported. */
  private schedulePublish(): void {
    if (this.isPublishScheduled) return;
    this.isPublishScheduled = true;
    const {clock} = this.options;
    const delayMs = this.publishedAt + PUBLISH_INTERVAL_MS - clock.now();
    clock.after(Math.max(MIN_PUBLISH_DELAY_MS, delayMs), () => {
      this.isPublishScheduled = false;
      this.publish();
    });
  }

  private publish(): void {
    this.publishedAt = this.options.clock.now();
    this.completeLongPolls();
  }

  /** Publishes a proof of freshness, unless one was published within the interval. */
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
