import {
  RunnerFailure,
  type CacheEvent,
  type GenerateEvent,
  type GenerateRequest,
  type RunnerOrder,
  type Runner,
  type RunnerReport,
} from '@bayspool/decisions';
import type {Engine} from '@bayspool/standins';
import type {HostGate} from './host_gate.js';
import {RunnerFault} from './runner_fault.js';

interface Options {
  readonly id: string;
  readonly place: string;
  readonly engine: Engine;
  readonly gate: HostGate;
  readonly fault: () => RunnerFault;
  /** Told of each dispatch, before the engine sees it. */
  readonly onDispatch: (request: GenerateRequest) => void;
}

const CUT_AFTER = 3;

/** An engine as one host reaches it. */
export class FaultyRunner implements Runner {
  readonly id: string;
  readonly place: string;

  constructor(private readonly options: Options) {
    this.id = options.id;
    this.place = options.place;
  }

  async *generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<GenerateEvent> {
    const {engine, gate, onDispatch} = this.options;
    if (gate.isDead) await new Promise(() => undefined);
    const fault = this.options.fault();
    if (fault === RunnerFault.BUSY)
      throw new RunnerFailure({message: 'busy', mayHaveRun: false, busy: true});
    onDispatch(request);
    const events = engine.generate(request, signal)[Symbol.asyncIterator]();
    try {
      for (let count = 0; ; count++) {
        const {value, done} = await gate.pass(events.next());
        if (done) return;
        if (fault === RunnerFault.CUT && count === CUT_AFTER)
          throw new RunnerFailure({message: 'cut', mayHaveRun: true});
        if (fault === RunnerFault.UNFINISHED && value.kind === 'final') return;
        if (fault === RunnerFault.CROSSED && count === 1)
          yield {...value, requestId: 'another'};
        if (fault === RunnerFault.DOUBLED && value.kind === 'token')
          yield value;
        yield value;
      }
    } finally {
      await events.return?.(undefined);
    }
  }

  async fetchReport(): Promise<RunnerReport> {
    return this.options.gate.pass(
      Promise.resolve(this.options.engine.report()),
    );
  }

  async fetchCacheEvents(after: number): Promise<CacheEvent[]> {
    return this.options.gate.pass(
      Promise.resolve(this.options.engine.cacheEvents(after)),
    );
  }

  async sendOrder(order: RunnerOrder): Promise<void> {
    if (this.options.gate.isRunning) this.options.engine.order(order);
  }
}
