import type {Clock} from '@bayspool/kernel';
import {Problem, ProblemKind} from '@bayspool/kernel';
import {compareQueueTags} from './compare_queue_tags.js';
import type {QueueDiscipline} from './queue_discipline.js';
import type {QueueTag} from './queue_tag.js';
import type {QueuedRequest} from './queued_request.js';

interface Options<Item> {
  readonly clock: Clock;
  readonly discipline: QueueDiscipline<NoInfer<Item>>;
  /** Maximum number of queued requests of each priority class. */
  readonly maxPerClass: number;
}

interface Entry<Item, Grant> {
  readonly item: Item;
  readonly tag: QueueTag;
  readonly joined: number;
  readonly grant: (grant: Grant) => void;
  readonly reject: (problem: Problem) => void;
}

const RETRY_AFTER_MS = 1_000;

/**
 * A bounded queue of requests that wait for a runner. A request leaves it with the grant that `admit`
 * obtained (capacity at a runner) or with a rejection; in both cases it has not started to run.
 */
export class AdmissionQueue<Item extends QueuedRequest<unknown>, Grant> {
  private entries: Entry<Item, Grant>[] = [];
  private joined = 0;

  constructor(private readonly options: Options<Item>) {}

  get length(): number {
    return this.entries.length;
  }

  /** Counts the queued requests of one priority class. */
  countWaiting(priority: Item['priority']): number {
    return this.entries.filter(entry => entry.item.priority === priority)
      .length;
  }

  /** Queues a request. Rejects at once when its class is full, and later when its deadline passes or `signal` aborts. */
  enqueue(item: Item, signal: AbortSignal): Promise<Grant> {
    if (this.countWaiting(item.priority) >= this.options.maxPerClass)
      return Promise.reject(createQueueFullProblem());
    if (signal.aborted) return Promise.reject(createCancelledProblem());
    return new Promise((resolve, reject) => {
      const timer = this.options.clock.after(
        item.deadlineAt - this.options.clock.now(),
        () => {
          removeEntry();
          reject(createDeadlineProblem());
        },
      );
      const entry: Entry<Item, Grant> = {
        item,
        tag: this.options.discipline.assignTag(item),
        joined: this.joined++,
        grant: grant => {
          removeEntry();
          resolve(grant);
        },
        reject: problem => {
          removeEntry();
          reject(problem);
        },
      };
      const onAbort = () => entry.reject(createCancelledProblem());
      const removeEntry = () => {
        timer.cancel();
        signal.removeEventListener('abort', onAbort);
        this.entries = this.entries.filter(other => other !== entry);
      };
      signal.addEventListener('abort', onAbort, {once: true});
      this.insert(entry);
    });
  }

  /**
   * Offers free capacity to the queued requests in order. `take` returns a grant for a request that
   * can start now, undefined for one that has to keep waiting, and a problem for one that can never start.
   */
  admit(take: (item: Item) => Grant | Problem | undefined): void {
    for (const entry of [...this.entries]) {
      const result = take(entry.item);
      if (result === undefined) continue;
      if (result instanceof Problem) {
        entry.reject(result);
        continue;
      }
      this.options.discipline.recordDequeue(entry.item, entry.tag);
      entry.grant(result);
    }
  }

  /** The first request in order for which `matches` holds, without removing it. */
  find(matches: (item: Item) => boolean): Item | undefined {
    return this.entries.find(({item}) => matches(item))?.item;
  }

  /** Sums the cost of the queued requests for which `matches` holds. */
  sumCost(matches: (item: Item, tag: QueueTag) => boolean): number {
    let sum = 0;
    for (const {item, tag} of this.entries)
      if (matches(item, tag)) sum += item.cost;
    return sum;
  }

  /** Lets one queued request leave with its grant. */
  grant(item: Item, grant: Grant): void {
    this.admit(other => (other === item ? grant : undefined));
  }

  private insert(entry: Entry<Item, Grant>): void {
    let index = this.entries.length;
    while (index > 0 && precedes(entry, this.entries[index - 1])) index--;
    this.entries.splice(index, 0, entry);
  }
}

function precedes<I, G>(a: Entry<I, G>, b: Entry<I, G>): boolean {
  const order = compareQueueTags(a.tag, b.tag);
  return order < 0 || (order === 0 && a.joined < b.joined);
}

function createQueueFullProblem(): Problem {
  return new Problem({
    kind: ProblemKind.OVERLOADED,
    what: 'too many requests of this class are already queued',
    remedy: 'come back after the time in Retry-After',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function createDeadlineProblem(): Problem {
  return new Problem({
    kind: ProblemKind.DEADLINE,
    what: 'no runner was free before the deadline',
    remedy:
      'come back after the time in Retry-After, or allow more time with Bayspool-Deadline-Ms',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function createCancelledProblem(): Problem {
  return new Problem({
    kind: ProblemKind.CANCELLED,
    what: 'the caller disconnected before the request was dispatched',
    remedy: 'send it again if it is still needed',
  });
}
