import type {CallWork, WorkEstimator} from '@bayspool/decisions/capacity';
import type {PrefillRates} from '../runners/prefill_rates.js';
import type {IncomingCall} from './incoming_call.js';

interface Options {
  readonly work: WorkEstimator;
  readonly rates: PrefillRates;
  /** Tokens that fit into the memory of a runner of a service; undefined if unknown. */
  readonly memoryTokensOf: (service: string) => number | undefined;
}

type SizedCall = Pick<IncomingCall, 'prompt' | 'route' | 'service'>;

/** Estimates what a call needs before a runner is chosen for it. */
export class CallWorkEstimator {
  constructor(private readonly options: Options) {}

  /** Estimates the work of a call at a model; the work of a call without a prompt is its slot time. */
  estimate({prompt, route}: SizedCall, model: string | undefined): CallWork {
    const {work, rates} = this.options;
    if (!prompt || model === undefined) return work.estimatePlain(route.name);
    const {tokens: promptTokens, maxOutputTokens, lengthHint} = prompt;
    return work.estimateEngine({
      route: route.name,
      promptTokens,
      msPerToken: rates.getMsPerToken(model),
      maxOutputTokens,
      lengthHint,
    });
  }

  /** Whether no runner has the memory for a call, so that it could only make one fail. */
  exceedsMemory(call: SizedCall, model: string | undefined): boolean {
    const limit = this.options.memoryTokensOf(call.service);
    if (limit === undefined || !call.prompt) return false;
    return this.estimate(call, model).memoryTokens > limit;
  }
}
