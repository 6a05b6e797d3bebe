import type {Clock} from '@bayspool/kernel';
import {Problem, ProblemKind} from '@bayspool/kernel';
import type {QueueDiscipline} from './queue_discipline.js';
import type {QueuedRequest} from './queued_request.js';

interface Options {
  readonly clock: Clock;
  readonly discipline: QueueDiscipline;
  /** How many items of each class may wait. */
  readonly maxPerClass: number;
}

interface Entry<Item, Grant> {
  readonly item: Item;
  readonly tag: number;
  readonly joined: number;
  readonly grant: (grant: Grant) => void;
  readonly refuse: (problem: Problem) => void;
}

const RETRY_AFTER_MS = 1_000;

/**
 * A bounded queue before the runners. An item leaves it with what `pass` gives
 * (a place at a runner), or with a refusal; in both cases no work has begun.
 */
export class AdmissionQueue<Item extends QueuedRequest, Grant> {
  private entries: Entry<Item, Grant>[] = [];
  private joined = 0;

  constructor(private readonly options: Options) {}

  get length(): number {
    return this.entries.length;
  }

  /** How many of one class wait. */
  countWaiting(priority: string): number {
    return this.entries.filter(entry => entry.item.priority === priority)
      .length;
  }

  /** Joins the queue; rejects at once when it is full, and later when the deadline passes or `signal` aborts. */
  enqueue(item: Item, signal: AbortSignal): Promise<Grant> {
    if (this.countWaiting(item.priority) >= this.options.maxPerClass)
      return Promise.reject(createQueueFullProblem());
    return new Promise((resolve, reject) => {
      const timer = this.options.clock.after(
        item.deadlineAt - this.options.clock.now(),
        () => {
          leave();
          reject(createDeadlineProblem());
        },
      );
      const entry: Entry<Item, Grant> = {
        item,
        tag: this.options.discipline.assignTag(item),
        joined: this.joined++,
        grant: grant => {
          leave();
          resolve(grant);
        },
        refuse: problem => {
          leave();
          reject(problem);
        },
      };
      const abort = () => entry.refuse(createCancelledProblem());
      const leave = () => {
        timer.cancel();
        signal.removeEventListener('abort', abort);
        this.entries = this.entries.filter(other => other !== entry);
      };
      signal.addEventListener('abort', abort, {once: true});
      this.insert(entry);
    });
  }

  /**
   * Offers room to the waiting items in order. `take` gives a grant for an item
   * that can go now, nothing for one that must wait on, and a problem for one that
   * can never go.
   */
  admit(take: (item: Item) => Grant | Problem | undefined): void {
    for (const entry of [...this.entries]) {
      const result = take(entry.item);
      if (result === undefined) continue;
      if (result instanceof Problem) {
        entry.refuse(result);
        continue;
      }
      this.options.discipline.recordDequeue(entry.item, entry.tag);
      entry.grant(result);
    }
  }

  private insert(entry: Entry<Item, Grant>): void {
    let index = this.entries.length;
    while (index > 0 && precedes(entry, this.entries[index - 1])) index--;
    this.entries.splice(index, 0, entry);
  }
}

function precedes<I, G>(a: Entry<I, G>, b: Entry<I, G>): boolean {
  return a.tag < b.tag || (a.tag === b.tag && a.joined < b.joined);
}

function createQueueFullProblem(): Problem {
  return new Problem({
    kind: ProblemKind.OVERLOADED,
    what: 'too many requests of this class wait already',
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
    what: 'the caller left before the request was dispatched',
    remedy: 'send it again if it is still wanted',
  });
}
