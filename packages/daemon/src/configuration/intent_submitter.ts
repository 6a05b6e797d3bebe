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
  readonly sealer: Sealer;
  readonly store: ConfigurationStore;
  /** How long to wait for a verdict, in ms. */
  readonly timeoutMs: number;
}

const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/**
 * Appends confirmed plans to the log and waits for the verdict that is read back. An
 * append that fails is retried with the same id, so the fold ignores a duplicate
 * when only the reply was lost.
 */
export class IntentSubmitter {
  constructor(private readonly options: Options) {}

  /** Resolves to the verdict, or to undefined when none was read from the log in time. */
  async submit(
    plan: IntentPlan,
    by: string,
  ): Promise<IntentVerdict | undefined> {
    const {clock, random, log, sealer, store, logger, timeoutMs} = this.options;
    const value = sealer.seal({
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
