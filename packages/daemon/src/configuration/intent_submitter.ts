import {
  Backoff,
  type Log,
  type IntentPlan,
  type Sealer,
  type IntentVerdict,
} from '@bayspool/decisions';
import {
  sleep,
  type Clock,
  type Logger,
  type RandomSource,
} from '@bayspool/kernel';
import type {ConfigurationStore} from './configuration_store.js';
import {configurationStream} from './configuration_stream.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly log: Log;
  readonly seal: Sealer;
  readonly store: ConfigurationStore;
  /** How long a verdict is waited for, in ms. */
  readonly timeoutMs: number;
}

const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/**
 * Appends confirmed plans to the log. The verdict is what is read back; an append
 * whose reply was lost is sent again with the same id, which the fold ignores.
 */
export class IntentSubmitter {
  constructor(private readonly options: Options) {}

  /** Gives the verdict, or nothing when the log did not show one in time. */
  async submit(
    plan: IntentPlan,
    by: string,
  ): Promise<IntentVerdict | undefined> {
    const {clock, random, log, seal, store, logger, timeoutMs} = this.options;
    const value = seal.seal({
      type: 'intent',
      id: plan.id,
      intent: plan.intent,
      basis: plan.basis,
      by,
    });
    const deadline = clock.now() + timeoutMs;
    const backoff = new Backoff({
      random,
      initialMs: MIN_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    const verdict = store.waitForVerdict(plan.id, timeoutMs);
    while (!store.findVerdict(plan.id) && clock.now() < deadline) {
      try {
        await log.append(configurationStream, [value]);
        break;
      } catch (error) {
        logger.warn('intent append failed', {
          intent: plan.id,
          error: String(error),
        });
        await sleep(clock, backoff.nextDelayMs());
      }
    }
    return verdict;
  }
}
