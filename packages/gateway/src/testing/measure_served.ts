import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewayFixture} from './gateway_fixture.js';

interface Options {
  readonly fixture: GatewayFixture;
  readonly forMs: number;
  /** Callers that send one request after the other. */
  readonly callers: number;
  /** Pause of a caller between two requests, in ms. */
  readonly pauseMs: number;
}

/** Sends calls for some time. @returns the share that was served whole */
export async function measureServed({
  fixture,
  forMs,
  callers,
  pauseMs,
}: Options): Promise<number> {
  const until = performance.now() + forMs;
  let sent = 0;
  let served = 0;
  const callOn = async () => {
    while (performance.now() < until) {
      const {status, isComplete} = await fixture.call();
      sent += 1;
      if (status === 200 && isComplete) served += 1;
      await sleep(pauseMs);
    }
  };
  await Promise.all(Array.from({length: callers}, callOn));
  return served / sent;
}
