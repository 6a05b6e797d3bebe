import type {Clock} from '@bayspool/kernel';
import type {HostLimits} from '../parts/host_limits.js';
import type {Topic} from '../records/topic.js';
import type {StoreHealth} from '../records/store_health.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {LoadBoard} from './load_board.js';
import type {LoadDigest} from './load_digest.js';
import type {Roster} from './roster.js';
import type {SyncAnswer} from './sync_answer.js';
import type {SyncRequest} from './sync_request.js';

interface Options {
  readonly clock: Clock;
  readonly mirrors: readonly TopicMirror[];
  /** The copy whose age others need to know at once. */
  readonly freshness: TopicMirror;
  readonly board: LoadBoard;
  readonly limits: HostLimits;
  readonly roster: Roster;
  /** Whether the store answers this host. */
  readonly health: StoreHealth;
}

/** Stands for what hosts elsewhere need not be told; hosts of an earlier version need it there. */
const EMPTY_DIGEST: LoadDigest = {runners: {}, rollouts: {}};
/** Least time for which a host that asks waits to be told of loads, in ms, so that others that ask now are heard too. */
const LEAST_WAIT_MS = 60;
/** Time in which news is gathered before those who wait are answered, in ms. */
const GATHER_MS = 15;

/**
 * Pause between two rounds in which those who wait are told what others have, in ms. Proofs come from the store and from each
 * other place, faster than hosts can be told of each one; loads grow too old for choices at some tenths of a second more.
 */
const TOLD_PAUSE_MS = 300;

/** Answers hosts that ask for news, and takes in what others answer. */
export class SyncDesk {
  private readonly waiting = new Set<() => void>();
  private isGathering = false;
  private isTelling = false;
  private toldAt = -Infinity;

  constructor(private readonly options: Options) {
    for (const mirror of options.mirrors) mirror.onUpdate(() => this.wake());
    options.freshness.onProof(() => this.tellProof());
    options.roster.onPlaceLost(() => this.wake());
  }

  /** Answers a host, at once if there is news for it, else within the time that it waits. */
  async answer(request: SyncRequest): Promise<SyncAnswer> {
    const {board, limits, roster} = this.options;
    const {self} = roster;
    const {from, digest} = request;
    roster.noteHeard(from);
    limits.take(request.limits ?? [], 0);
    if (from.place === self.place) board.noteHost(from.name, digest);
    if (request.waitMs > 0 && !this.hasNews(request))
      await this.waitForNews(request.waitMs);
    return {
      topics: this.topicsFor(request),
      place: self.place,
      isLoading: this.isLoading || undefined,
      loads: board.sumFor(from.place),
      limits: limits.news(),
      lostPlaces:
        from.place === self.place ? [...roster.seenLostPlaces()] : undefined,
    };
  }

  /**
   * The request that this host sends to one of a place; undefined where the place is not known. Other
   * places are told of this one by its reader, so what this host has is left out there.
   */
  request(waitMs: number, place?: string): SyncRequest {
    const {mirrors, board, limits, roster} = this.options;
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
  adopt(answer: SyncAnswer, sentAt: number): void {
    const {board, roster} = this.options;
    this.adoptTopics(answer, sentAt);
    this.adoptLimits(answer, sentAt);
    if (answer.place !== roster.self.place)
      return board.notePlace(answer.place, answer.loads);
    board.noteAll(answer.loads);
    roster.noteToldLost(answer.lostPlaces ?? [], 'a host of this place');
  }

  /** Takes in what an answer says of limits that runners name. */
  adoptLimits({limits = []}: SyncAnswer, sentAt: number): void {
    const sinceMs = this.options.clock.now() - sentAt;
    this.options.limits.take(limits, sinceMs);
  }

  /** A runner is in need: hosts that wait for news are told at once. */
  tellLimits(): void {
    this.wake();
  }

  /** Takes in what an answer says of the store, and nothing of what hosts have and saw. */
  adoptTopics(answer: SyncAnswer, sentAt: number): void {
    for (const mirror of this.options.mirrors)
      this.adoptTopic(mirror, answer, sentAt);
  }

  private adoptTopic(
    mirror: TopicMirror,
    answer: SyncAnswer,
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
    const {mirrors, health} = this.options;
    return !health.isLost && mirrors.some(mirror => !mirror.isLoaded);
  }

  private topicsFor(request: SyncRequest): SyncAnswer['topics'] {
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

  private hasNews({positions, limits = []}: SyncRequest): boolean {
    if (this.options.limits.isUrgentFor(limits)) return true;
    return this.options.mirrors.some(
      mirror =>
        mirror.isLoaded &&
        mirror.next > (positions[mirror.topic as Topic] ?? 0),
    );
  }

  private waitForNews(waitMs: number): Promise<void> {
    this.tellLoadsSoon();
    return new Promise(resolve => {
      const timer = this.options.clock.after(waitMs, finish);
      const {waiting} = this;
      waiting.add(finish);
      function finish(): void {
        timer.cancel();
        waiting.delete(finish);
        resolve();
      }
    });
  }

  /** Those who wait are answered together, so that each hears of what the others told just before. */
  private tellLoadsSoon(): void {
    if (this.isTelling) return;
    this.isTelling = true;
    const {clock} = this.options;
    const pauseMs = this.toldAt + TOLD_PAUSE_MS - clock.now();
    clock.after(Math.max(LEAST_WAIT_MS, pauseMs), () => {
      this.isTelling = false;
      this.tell();
    });
  }

  private tell(): void {
    this.toldAt = this.options.clock.now();
    this.wake();
  }

  /** Proofs come from the store and from each other place; the hosts that wait are told of some of them. */
  private tellProof(): void {
    if (this.options.clock.now() - this.toldAt >= TOLD_PAUSE_MS) this.tell();
  }

  private wake(): void {
    if (this.isGathering || this.waiting.size === 0) return;
    this.isGathering = true;
    this.options.clock.after(GATHER_MS, () => {
      this.isGathering = false;
      for (const finish of [...this.waiting]) finish();
    });
  }
}
