import type {
  RatingService,
  RatingResult,
  RatingSample,
} from '@bayspool/decisions';
import type {Clock, RandomSource} from '@bayspool/kernel';
import {LongPolls} from '../polls/long_polls.js';
import {answerQuality} from './answer_quality.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Seeds which answers are good. */
  readonly seed?: number;
  /** The part of good answers by version; `version/task` goes before `version`. */
  readonly quality: Record<string, number>;
  /** Mean time until a rating is there, in ms. */
  readonly delayMs?: number;
  /** The part of ratings that are wrong. */
  readonly noise?: number;
}

interface Mailbox {
  readonly results: RatingResult[];
  position: number;
  readonly polls: LongPolls;
}

const DELAY_MS = 300;
const QUALITY_DEFAULT = 0.95;
const KEPT_MOST = 10_000;

/** A service that rates answers late and with noise. The truth depends on request and version only. */
export class MemoryRating implements RatingService {
  private readonly mailboxes = new Map<string, Mailbox>();
  /** May be changed while it runs, as when a version turns bad. */
  readonly quality: Record<string, number>;
  delayMs: number;

  constructor(private readonly options: Options) {
    this.quality = {...options.quality};
    this.delayMs = options.delayMs ?? DELAY_MS;
  }

  /** Whether the answer is good in truth. */
  isGood(requestId: string, version: string, task: string): boolean {
    const part =
      this.quality[`${version}/${task}`] ??
      this.quality[version] ??
      QUALITY_DEFAULT;
    return answerQuality(this.options.seed ?? 0, requestId, version) < part;
  }

  async submit(sample: RatingSample): Promise<void> {
    const truth = this.isGood(sample.requestId, sample.version, sample.task);
    const wrong = this.options.random.next() < (this.options.noise ?? 0);
    const delay = this.delayMs * (0.5 + this.options.random.next());
    this.options.clock.after(delay, () =>
      this.deliver(sample, wrong ? !truth : truth),
    );
  }

  async fetchResults(
    host: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<RatingResult[]> {
    const mailbox = this.mailbox(host);
    if (mailbox.position <= after && waitMs > 0)
      await mailbox.polls.wait(waitMs, signal);
    return mailbox.results.filter(result => result.position > after);
  }

  private deliver(sample: RatingSample, good: boolean): void {
    const mailbox = this.mailbox(sample.host);
    mailbox.position++;
    mailbox.results.push({
      position: mailbox.position,
      requestId: sample.requestId,
      good,
    });
    if (mailbox.results.length > KEPT_MOST) mailbox.results.shift();
    mailbox.polls.wake();
  }

  private mailbox(host: string): Mailbox {
    let mailbox = this.mailboxes.get(host);
    if (!mailbox) {
      mailbox = {results: [], position: 0, polls: new LongPolls(this.options)};
      this.mailboxes.set(host, mailbox);
    }
    return mailbox;
  }
}
