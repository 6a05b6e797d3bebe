import {
  estimateTokenCount,
  renderPromptText,
  RunnerFailure,
  PriorityClass,
  type CacheEvent,
  type GenerateEvent,
  type GenerateRequest,
  type RunnerOrder,
  type RunnerReport,
} from '@bayspool/decisions';
import type {Timer} from '@bayspool/kernel';
import {answerWord} from './answer_words.js';
import {EventQueue} from './event_queue.js';
import type {EngineOptions} from './engine_options.js';
import {PrefixCache} from './prefix_cache.js';
import type {RunRecord} from './run_record.js';
import type {Work} from './work.js';

const DEFAULTS = {
  versionSlots: 3,
  slots: 16,
  waitingMost: 64,
  stepMs: 8,
  crowdMs: 0.4,
  prefillMs: 60,
  cacheMost: 256,
  reportLagMs: 500,
  loseEvery: 0,
  loadMs: 2_000,
  checksOrders: true,
  answerTokens: 24,
};
const PRIORITY_ORDER = [
  PriorityClass.URGENT,
  PriorityClass.INTERACTIVE,
  PriorityClass.BULK,
];
const THOUSAND = 1_000;
const RUNS_KEPT = 50_000;
const TOKENS_A_PREFIX = 256;

/**
 * A model engine that batches continuously: each step gives every running
 * request one token and takes longer with more of them; the prefill depends on
 * what the prefix cache holds; load is published late.
 */
export class Engine {
  private readonly options: EngineOptions & typeof DEFAULTS;
  private readonly loaded = new Set<string>();
  private readonly loading = new Map<string, Timer>();
  private readonly cache: PrefixCache;
  private readonly reports: {at: number; report: RunnerReport}[] = [];
  private waiting: Work[] = [];
  private running: Work[] = [];
  private step: Timer | undefined;
  private highestToken = -1;
  /** What ran here, oldest first. */
  readonly runs: RunRecord[] = [];
  /** Loads of weights so far. */
  weightLoads = 0;
  /** Orders taken, newest last. */
  readonly orders: RunnerOrder[] = [];

  constructor(options: EngineOptions) {
    this.options = {...DEFAULTS, ...options};
    this.cache = new PrefixCache({
      most: this.options.cacheMost,
      loseEvery: this.options.loseEvery,
    });
    options.versions.forEach(version => this.loaded.add(version));
  }

  /** Generates an answer; ending the iteration cancels the work. */
  async *generate(
    request: GenerateRequest,
    signal?: AbortSignal,
  ): AsyncGenerator<GenerateEvent> {
    this.refuseIfUnable(request);
    const queue = new EventQueue<GenerateEvent>();
    const work = this.accept(request, queue);
    const cancel = () => {
      this.cancel(work);
      queue.close();
    };
    signal?.addEventListener('abort', cancel, {once: true});
    try {
      for await (const event of queue) {
        yield event;
        if (event.kind === 'final') return;
      }
    } finally {
      signal?.removeEventListener('abort', cancel);
      this.cancel(work);
    }
  }

  report(): RunnerReport {
    const now = this.options.clock.now();
    const current = {at: now, report: this.currentReport()};
    this.reports.push(current);
    while (
      this.reports.length > 1 &&
      this.reports[1].at <= now - this.options.reportLagMs
    )
      this.reports.shift();
    return {...this.reports[0].report, versions: current.report.versions};
  }

  cacheEvents(after: number): CacheEvent[] {
    return this.cache.eventsAfter(after);
  }

  /** Takes an order; throws when it checks orders and has seen a higher token. */
  order(order: RunnerOrder): void {
    if (this.options.checksOrders && order.fencingToken < this.highestToken) {
      throw new RunnerFailure({
        message: 'the fencing token is old',
        mayHaveRun: false,
      });
    }
    this.highestToken = Math.max(this.highestToken, order.fencingToken);
    this.orders.push(order);
    if (order.desired === 'unloaded') this.unload(order.version);
    else this.load(order.version);
  }

  private load(version: string): void {
    if (this.loaded.has(version) || this.loading.has(version)) return;
    this.weightLoads++;
    const timer = this.options.clock.after(this.options.loadMs, () => {
      this.loading.delete(version);
      this.loaded.add(version);
    });
    this.loading.set(version, timer);
  }

  private unload(version: string): void {
    this.loading.get(version)?.cancel();
    this.loading.delete(version);
    this.loaded.delete(version);
  }

  private refuseIfUnable(request: GenerateRequest): void {
    if (!this.loaded.has(request.version)) {
      throw new RunnerFailure({
        message: `version ${request.version} is not loaded`,
        mayHaveRun: false,
      });
    }
    if (this.waiting.length >= this.options.waitingMost) {
      throw new RunnerFailure({
        message: 'the engine is full',
        mayHaveRun: false,
        busy: true,
      });
    }
  }

  private accept(
    request: GenerateRequest,
    queue: EventQueue<GenerateEvent>,
  ): Work {
    const bound = Number(
      request.body.max_completion_tokens ?? request.body.max_tokens,
    );
    const work: Work = {
      request,
      tokens: bound > 0 ? bound : this.options.answerTokens,
      promptTokens: estimateTokenCount(renderPromptText(request.body)),
      arrived: this.options.clock.now(),
      emit: event => queue.push(event),
      next: request.resumeFrom,
      readyAt: Infinity,
      cancelled: false,
    };
    this.waiting.push(work);
    this.admit();
    return work;
  }

  private admit(): void {
    while (
      this.running.length < this.options.slots &&
      this.waiting.length > 0
    ) {
      const work = this.takeWaiting();
      const cached = this.cache.match(work.request.prefixes) * TOKENS_A_PREFIX;
      const fresh = Math.max(0, work.promptTokens - cached);
      work.readyAt =
        this.options.clock.now() + (fresh * this.options.prefillMs) / THOUSAND;
      this.cache.store(work.request.prefixes);
      this.running.push(work);
      this.remember(work);
    }
    this.schedule();
  }

  private takeWaiting(): Work {
    const rank = (work: Work) => PRIORITY_ORDER.indexOf(work.request.priority);
    const next = this.waiting.reduce((best, work) =>
      rank(work) < rank(best) ? work : best,
    );
    this.waiting = this.waiting.filter(work => work !== next);
    return next;
  }

  private remember(work: Work): void {
    const {requestId, version, resumeFrom} = work.request;
    this.runs.push({
      requestId,
      version,
      from: resumeFrom,
      tokens: 0,
      whole: false,
    });
    if (this.runs.length > RUNS_KEPT) this.runs.shift();
  }

  private schedule(): void {
    if (this.step || this.running.length === 0) return;
    const length =
      this.options.stepMs + this.options.crowdMs * (this.running.length - 1);
    this.step = this.options.clock.after(length, () => {
      this.step = undefined;
      this.runStep();
    });
  }

  private runStep(): void {
    const now = this.options.clock.now();
    for (const work of [...this.running]) {
      if (work.readyAt <= now) this.produce(work);
    }
    this.admit();
  }

  private produce(work: Work): void {
    const {requestId, version} = work.request;
    const record = this.runs.findLast(run => run.requestId === requestId);
    if (work.next < work.tokens) {
      const seed = `${version}/${renderPromptText(work.request.body)}`;
      work.emit({
        kind: 'token',
        requestId,
        index: work.next,
        text: answerWord(seed, work.next),
      });
      work.next++;
      if (record) record.tokens++;
    }
    if (work.next < work.tokens) return;
    if (record) record.whole = true;
    this.running = this.running.filter(other => other !== work);
    work.emit({
      kind: 'final',
      requestId,
      finishReason: 'stop',
      usage: {promptTokens: work.promptTokens, completionTokens: work.next},
    });
  }

  private cancel(work: Work): void {
    if (work.cancelled) return;
    work.cancelled = true;
    this.waiting = this.waiting.filter(other => other !== work);
    this.running = this.running.filter(other => other !== work);
    this.admit();
  }

  private currentReport(): RunnerReport {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      slots: this.options.slots,
      versions: [...this.loaded].sort(),
      checksOrders: this.options.checksOrders,
      versionSlots: this.options.versionSlots,
    };
  }
}
