import type {Clock} from '@bayspool/kernel';
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
  readonly roster: Roster;
  /** Whether the store answers this host. */
  readonly health: StoreHealth;
}

/** Stands for what hosts elsewhere need not be told; hosts of an earlier version need it there. */
const EMPTY_DIGEST: LoadDigest = {runners: {}, rollouts: {}};
/** Time in which news is gathered before those who wait are answered, in ms. */
const GATHER_MS = 15;

/**
 * Least pause between two proofs that are told to those who wait, in ms. Proofs come from the store and from each
 * other place; told of each one, 195 hosts in five places spent 0.4 of their processor time on asking again. What
 * is told with a proof are loads: at 0.9 s 335 of 4,094 answers to long prompts were late, at 0.3 s 206, for the
 * same processor time (345 and 343 s).
 */
const PROOF_PAUSE_MS = 300;

/** Answers hosts that ask for news, and takes in what others answer. */
export class SyncDesk {
  private readonly waiting = new Set<() => void>();
  private isGathering = false;
  private proofToldAt = -Infinity;

  constructor(private readonly options: Options) {
    for (const mirror of options.mirrors) mirror.onUpdate(() => this.wake());
    options.freshness.onProof(() => this.tellProof());
    options.roster.onPlaceLost(() => this.wake());
  }

  /** Answers a host, at once if there is news for it, else within the time that it waits. */
  async answer(request: SyncRequest): Promise<SyncAnswer> {
    const {board, roster} = this.options;
    const {self} = roster;
    const {from, digest} = request;
    roster.noteHeard(from);
    if (from.place === self.place) board.noteHost(from.name, digest);
    if (request.waitMs > 0 && !this.hasNews(request))
      await this.waitForNews(request.waitMs);
    return {
      topics: this.topicsFor(request),
      place: self.place,
      isLoading: this.isLoading || undefined,
      loads: board.sumFor(from.place),
      lostPlaces:
        from.place === self.place ? [...roster.seenLostPlaces()] : undefined,
    };
  }

  /**
   * The request that this host sends to one of a place; undefined where the place is not known. Other
   * places are told of this one by its reader, so what this host has is left out there.
   */
  request(waitMs: number, place?: string): SyncRequest {
    const {mirrors, board, roster} = this.options;
    const isInside = place === roster.self.place;
    const loaded = mirrors.filter(mirror => mirror.isLoaded);
    return {
      from: roster.self,
      positions: Object.fromEntries(
        loaded.map(({topic, next}) => [topic, next]),
      ),
      digest: isInside ? board.own() : EMPTY_DIGEST,
      waitMs,
    };
  }

  /** Takes in an answer to a request sent at `sentAt`: ages count from then, so never too young. */
  adopt(answer: SyncAnswer, sentAt: number): void {
    const {board, roster} = this.options;
    this.adoptTopics(answer, sentAt);
    if (answer.place !== roster.self.place)
      return board.notePlace(answer.place, answer.loads);
    board.noteAll(answer.loads);
    roster.noteToldLost(answer.lostPlaces ?? [], 'a host of this place');
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

  private hasNews({positions}: SyncRequest): boolean {
    return this.options.mirrors.some(
      mirror =>
        mirror.isLoaded &&
        mirror.next > (positions[mirror.topic as Topic] ?? 0),
    );
  }

  private waitForNews(waitMs: number): Promise<void> {
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

  /** Proofs come from the store and from each other place; the hosts that wait are told of some of them. */
  private tellProof(): void {
    const now = this.options.clock.now();
    if (now - this.proofToldAt < PROOF_PAUSE_MS) return;
    this.proofToldAt = now;
    this.wake();
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
